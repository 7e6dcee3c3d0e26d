/// @file
/// @brief Fingerprint of a request: equal for equal requests, regardless of their ids.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornrail {

/// Digest of the contents of a request. No caller can craft a request with the fingerprint of another one.
struct request_fingerprint {
    static constexpr std::size_t size = 16;
    std::array<std::uint8_t, size> bytes {};
    auto operator<=>(const request_fingerprint&) const = default;
};

/// What can be blamed when a target crashes while it executes a request.
struct request_fingerprints {
    request_fingerprint whole; ///< of the whole request
    std::vector<request_fingerprint> parts; ///< of the parts of its prompt that other requests may have too

    request_fingerprints() = default;
    /// Implicit, as most requests have no shared parts.
    request_fingerprints( // NOLINT(google-explicit-constructor)
        const request_fingerprint& request, std::vector<request_fingerprint> sharedParts = {})
        : whole(request)
        , parts(std::move(sharedParts))
    {
    }
};

/// @brief Formats a fingerprint as hexadecimal digits.
std::string text(const request_fingerprint& fingerprint);

/// @brief Reads a fingerprint formatted by text(). @return nothing if the digits aren't valid
std::optional<request_fingerprint> parseFingerprint(std::string_view digits);

} // namespace buckthornrail
