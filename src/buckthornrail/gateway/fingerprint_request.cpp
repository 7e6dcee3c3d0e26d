/// @file
/// @brief SHA-256 over the parts of a request.
#include "buckthornrail/gateway/fingerprint_request.hpp"

#include <initializer_list>
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

request_fingerprint digestOf(std::initializer_list<std::string_view> texts)
{
    sha256_ctx digest;
    sha256_init(&digest);
    for (const auto text : texts)
        add(digest, text);
    request_fingerprint fingerprint;
    sha256_digest(&digest, fingerprint.bytes.size(), fingerprint.bytes.data());
    return fingerprint;
}

} // namespace

request_fingerprint fingerprintOf(const request_identity& request)
{
    return digestOf({ request.method, request.host, request.target, request.workspace, request.body });
}

request_fingerprint fingerprintOfPart(std::string_view service, std::string_view part)
{
    // The number of texts tells a part from a request.
    return digestOf({ "prompt part", service, part });
}

} // namespace buckthornrail::gateway
