/// @file
/// @brief Creates target tables for tests.
#pragma once

#include "buckthornrail/registry/target_record.hpp"

namespace test_support {

/// @return a table of ready targets with these ids, all of one service
inline buckthornrail::registry::target_table tableOf(const std::vector<std::string>& ids)
{
    buckthornrail::registry::target_table table;
    for (const auto& id : ids) {
        buckthornrail::registry::target_record record;
        record.id = id;
        record.service = "s";
        record.address = id + ":1";
        table.apply(record);
    }
    return table;
}

} // namespace test_support
