/// @file
/// @brief Deterministic model for tests in one process: each token is derived from a hash of the complete
/// text before it.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace test_support {

/// @return the token that follows a text
inline std::string nextToken(const std::string& text)
{
    return " t" + std::to_string(std::hash<std::string>()(text) % 1000);
}

/// @return the complete response to a prompt
inline std::string responseTo(std::string prompt, std::uint32_t tokens)
{
    std::string response;
    for (std::uint32_t index = 0; index < tokens; ++index) {
        const std::string token = nextToken(prompt);
        response += token;
        prompt += token;
    }
    return response;
}

} // namespace test_support
