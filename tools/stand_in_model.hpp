/// @file
/// @brief A model small enough to check answers by: each token follows from the whole text before it.
#pragma once

#include <cstdint>
#include <string>

namespace stand_in {

/// @brief What the layers below `firstLayer` make of a text; for layer 0, of its hash.
std::uint64_t embed(const std::string& text);

/// @brief Passes a value through layers [firstLayer, endLayer).
std::uint64_t runLayers(std::uint64_t value, std::uint32_t firstLayer, std::uint32_t endLayer);

/// @brief The token that a value after the last layer stands for; begins with a blank.
std::string tokenOf(std::uint64_t value);

/// @brief The next `count` tokens after a text, from a model of that many layers.
std::string expectedAnswer(std::string text, std::uint32_t count, std::uint32_t layers);

} // namespace stand_in
