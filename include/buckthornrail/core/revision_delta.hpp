/// @file
/// @brief What a receiver of a table lacks, where each record bears the table's revision at its last change.
#pragma once

#include <cstdint>

namespace buckthornrail {

/// @brief Collects the records that changed after a revision, or all of them where that can't be told.
/// @tparam Delta has from, to, full and records
/// @param records map of records with a member `revision`
/// @param since revision that the receiver holds; 0: none
/// @param revision the table's own
/// @param pruned deltas from before this revision are not complete
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
