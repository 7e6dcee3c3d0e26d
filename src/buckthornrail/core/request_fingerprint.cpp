/// @file
/// @brief Formats and parses fingerprints.
#include "buckthornrail/core/request_fingerprint.hpp"

#include <charconv>

namespace buckthornrail {
namespace {

constexpr int hexadecimal = 16;
constexpr std::size_t digitsPerByte = 2;
constexpr unsigned bitsPerDigit = 4;
constexpr unsigned digitMask = 0xF;
constexpr std::string_view digitNames = "0123456789abcdef";

} // namespace

std::string text(const request_fingerprint& fingerprint)
{
    std::string digits;
    digits.reserve(request_fingerprint::size * digitsPerByte);
    for (const unsigned byte : fingerprint.bytes) {
        digits += digitNames[byte >> bitsPerDigit];
        digits += digitNames[byte & digitMask];
    }
    return digits;
}

std::optional<request_fingerprint> parseFingerprint(std::string_view digits)
{
    if (digits.size() != request_fingerprint::size * digitsPerByte)
        return std::nullopt;
    request_fingerprint parsed;
    for (auto& byte : parsed.bytes) {
        const char* const begin = digits.data();
        const auto [end, error] = std::from_chars(begin, begin + digitsPerByte, byte, hexadecimal);
        if (error != std::errc() || end != begin + digitsPerByte)
            return std::nullopt;
        digits.remove_prefix(digitsPerByte);
    }
    return parsed;
}

} // namespace buckthornrail
