/// @file
/// @brief Conversion of enumerators to and from numbers with a range check.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace buckthornrail::link {

/// @brief Base of an adl_serializer: from_json() throws std::out_of_range for a number above the last enumerator.
template <typename Enum, Enum Last> struct checked_enum {
    static void to_json(nlohmann::json& out, Enum value) { out = static_cast<unsigned>(value); }
    static void from_json(const nlohmann::json& in, Enum& value)
    {
        const auto number = in.get<std::uint64_t>();
        if (number > static_cast<std::uint64_t>(Last))
            throw std::out_of_range("enumerator " + std::to_string(number) + " is unknown");
        value = static_cast<Enum>(number);
    }
};

} // namespace buckthornrail::link
