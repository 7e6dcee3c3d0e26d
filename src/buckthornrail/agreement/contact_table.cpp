/// @file
/// @brief Contacts with members of the replicated log.
#include "buckthornrail/agreement/contact_table.hpp"

#include <algorithm>

namespace buckthornrail::agreement {

void contact_table::record(member_id id, steady_time now)
{
    if (const auto found = m_contacts.find(id); found != m_contacts.end())
        found->second.heardAt = now;
}

void contact_table::recordLeaving(member_id id, bool isLeaving)
{
    if (const auto found = m_contacts.find(id); found != m_contacts.end())
        found->second.isLeaving = isLeaving;
}

void contact_table::restart(steady_time now)
{
    for (auto& [id, record] : m_contacts)
        record.heardAt = now;
}

void contact_table::retain(std::span<const member> members, steady_time now)
{
    std::erase_if(m_contacts, [members](const auto& item) {
        return std::none_of(
            members.begin(), members.end(), [&item](const member& member) { return member.id == item.first; });
    });
    for (const auto& member : members)
        m_contacts.try_emplace(member.id, contact { now, now, false });
}

steady_time contact_table::heardAt(member_id id, steady_time now) const
{
    const auto found = m_contacts.find(id);
    return found == m_contacts.end() ? now : found->second.heardAt;
}

steady_time contact_table::knownSince(member_id id, steady_time now) const
{
    const auto found = m_contacts.find(id);
    return found == m_contacts.end() ? now : found->second.knownSince;
}

bool contact_table::isLeaving(member_id id) const
{
    const auto found = m_contacts.find(id);
    return found != m_contacts.end() && found->second.isLeaving;
}

} // namespace buckthornrail::agreement
