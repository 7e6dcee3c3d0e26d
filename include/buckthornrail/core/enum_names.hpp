/// @file
/// @brief Tables of enumerator names, and lookups in both directions.
#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace buckthornrail {

/// Row of a table of names.
template <typename Enum> struct enum_name {
    Enum value;
    std::string_view name;
};

/// @brief Looks up the name of an enumerator.
/// @return the name, or "unknown" if the table doesn't contain it
template <typename Enum, std::size_t Size>
constexpr std::string_view nameIn(const std::array<enum_name<Enum>, Size>& table, Enum value)
{
    for (const auto& row : table) {
        if (row.value == value)
            return row.name;
    }
    return "unknown";
}

/// @brief Looks up the enumerator of a name.
/// @return the enumerator, or nothing if the table doesn't contain the name
template <typename Enum, std::size_t Size>
constexpr std::optional<Enum> valueIn(const std::array<enum_name<Enum>, Size>& table, std::string_view name)
{
    for (const auto& row : table) {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

} // namespace buckthornrail
