/// @file
/// @brief Deterministic stand-in for a language model: each token is a function of the whole text before it, so that a
/// test can compute the expected response.
#pragma once

#include <cstdint>
#include <string>

namespace stand_in {

/// @brief The input of layer 0 for a text: its hash.
std::uint64_t embed(const std::string& text);

/// @brief Passes a value through the layers [firstLayer, endLayer).
/// @return the output of the last of them; `value` itself when the range is empty
std::uint64_t runLayers(std::uint64_t value, std::uint32_t firstLayer, std::uint32_t endLayer);

/// @brief Decodes the output of the last layer into a token, which begins with a space.
std::string tokenOf(std::uint64_t value);

/// @brief The `count` tokens that a model with that many layers generates after a text.
std::string expectedResponse(std::string text, std::uint32_t count, std::uint32_t layers);

} // namespace stand_in
