/// @file
/// @brief Tables that give each enumerator its name, and lookups in both directions.
#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace buckthornrail {

/// One row of a table of names.
template <typename Enum> struct enum_name {
    Enum value;
    std::string_view name;
};

/// @brief Name of an enumerator.
/// @return the name, or "unknown" when the table has no such row.
template <typename Enum, std::size_t Size>
constexpr std::string_view nameIn(const std::array<enum_name<Enum>, Size>& table, Enum value)
{
    for (const auto& row : table) {
        if (row.value == value)
            return row.name;
    }
    return "unknown";
}

/// @brief Enumerator of a name.
/// @return the enumerator, or nothing when no row has that name.
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
