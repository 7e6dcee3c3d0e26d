/// @file
/// @brief Fingerprint of a request: equal for equal requests, regardless of their ids.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace buckthornrail {

/// Digest of the contents of a request. No caller can craft a request with the fingerprint of another one.
struct request_fingerprint {
    static constexpr std::size_t size = 16;
    std::array<std::uint8_t, size> bytes {};
    auto operator<=>(const request_fingerprint&) const = default;
};

/// @brief Formats a fingerprint as hexadecimal digits.
std::string text(const request_fingerprint& fingerprint);

/// @brief Reads a fingerprint formatted by text(). @return nothing if the digits aren't valid
std::optional<request_fingerprint> parseFingerprint(std::string_view digits);

} // namespace buckthornrail
