/// @file
/// @brief Deltas of a table whose records contain the table's revision at their last change.
#pragma once

#include <cstdint>

namespace buckthornrail {

/// @brief Collects the records that changed after a revision, or all of them if the changes since can't be determined.
/// @tparam Delta has the members from, to, full and records
/// @param records map whose values have a member `revision`
/// @param since the receiver's revision; 0: none
/// @param revision the table's current revision
/// @param pruned deltas from an earlier revision would be incomplete, as records have been pruned since
template <typename Delta, typename Records>
Delta changesSince(const Records& records, std::uint64_t since, std::uint64_t revision, std::uint64_t pruned)
{
    Delta delta;
    delta.from = since;
    delta.to = revision;
    delta.full = since < pruned || since > revision || since == 0;
    for (const auto& [id, record] : records) {
        if (delta.full || record.revision > since)
            delta.records.push_back(record);
    }
    return delta;
}

} // namespace buckthornrail
