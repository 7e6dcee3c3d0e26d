/// @file
/// @brief Hash arithmetic of the stand-in model.
#include "stand_in_model.hpp"

#include <array>
#include <string_view>
#include <xxhash.h>

namespace stand_in {
namespace {

constexpr std::array<std::string_view, 16> vocabulary { "anchor", "buoy", "cove", "dock", "ebb", "fathom", "gale",
    "hull", "inlet", "jetty", "keel", "lagoon", "mast", "neap", "oar", "pier" };

} // namespace

std::uint64_t embed(const std::string& text) { return XXH64(text.data(), text.size(), 0); }

std::uint64_t runLayers(std::uint64_t value, std::uint32_t firstLayer, std::uint32_t endLayer)
{
    for (std::uint32_t layer = firstLayer; layer < endLayer; ++layer)
        value = XXH64(&value, sizeof value, layer + 1);
    return value;
}

std::string tokenOf(std::uint64_t value)
{
    return " " + std::string(vocabulary[value % vocabulary.size()]) + std::to_string((value >> 8U) % 100);
}

std::string expectedResponse(std::string text, std::uint32_t count, std::uint32_t layers)
{
    std::string response;
    for (std::uint32_t index = 0; index < count; ++index) {
        const std::string token = tokenOf(runLayers(embed(text), 0, layers));
        response += token;
        text += token;
    }
    return response;
}

} // namespace stand_in
