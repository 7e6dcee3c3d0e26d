/// @file
/// @brief When a replica last heard from the other members. Kept by every replica, so that a new leader knows it too.
#pragma once

#include "buckthornrail/agreement/types.hpp"
#include "buckthornrail/core/clock.hpp"

#include <map>
#include <span>

namespace buckthornrail::agreement {

/// @brief Records contacts with members by their ids, and which of them have announced that they leave.
class contact_table {
public:
    /// @brief Records that a message of a member, or a part of one, was received.
    void record(member_id id, steady_time now);
    /// @brief Records whether a member has announced that it leaves.
    void recordLeaving(member_id id, bool isLeaving);
    /// @brief Counts silence from now on: this replica itself received nothing meanwhile, as it stood still.
    void restart(steady_time now);
    /// @brief Removes the records of all but these members, and begins records of new ones.
    void retain(std::span<const member> members, steady_time now);

    /// @return when the member was last heard, or its record began; `now` for a member without a record
    [[nodiscard]] steady_time heardAt(member_id id, steady_time now) const;
    /// @return when the record of a member began, soon after it was added; `now` for a member without a record
    [[nodiscard]] steady_time knownSince(member_id id, steady_time now) const;
    [[nodiscard]] bool isLeaving(member_id id) const;

private:
    struct contact {
        steady_time knownSince {};
        steady_time heardAt {};
        bool isLeaving = false;
    };
    std::map<member_id, contact> m_contacts;
};

} // namespace buckthornrail::agreement
