/// @file
/// @brief What makes two requests the same, whatever ids they come under.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace buckthornrail {

/// A digest of what a caller asks for. Strong enough that no caller can find a request with another's.
struct request_fingerprint {
    static constexpr std::size_t size = 16;
    std::array<std::uint8_t, size> bytes {};
    auto operator<=>(const request_fingerprint&) const = default;
};

/// @brief Hexadecimal digits, for logs, operators and messages.
std::string text(const request_fingerprint& one);

/// @return nothing when the text isn't that of a fingerprint
std::optional<request_fingerprint> parseFingerprint(std::string_view digits);

} // namespace buckthornrail
