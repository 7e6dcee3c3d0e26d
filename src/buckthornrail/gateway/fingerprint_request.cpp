/// @file
/// @brief SHA-256 over the parts of a request.
#include "buckthornrail/gateway/fingerprint_request.hpp"

#include <nettle/sha2.h>

namespace buckthornrail::gateway {
namespace {

void add(sha256_ctx& digest, std::string_view part)
{
    // Length prefixes keep different requests from yielding the same bytes.
    const std::string length = std::to_string(part.size()) + ":";
    sha256_update(&digest, length.size(), reinterpret_cast<const std::uint8_t*>(length.data()));
    sha256_update(&digest, part.size(), reinterpret_cast<const std::uint8_t*>(part.data()));
}

} // namespace

request_fingerprint fingerprintOf(const request_identity& request)
{
    sha256_ctx digest;
    sha256_init(&digest);
    for (const auto part : { request.method, request.host, request.target, request.workspace, request.body })
        add(digest, part);
    request_fingerprint fingerprint;
    sha256_digest(&digest, fingerprint.bytes.size(), fingerprint.bytes.data());
    return fingerprint;
}

} // namespace buckthornrail::gateway
