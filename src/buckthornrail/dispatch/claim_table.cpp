/// @file
/// @brief Grants, moves and expires claims.
#include "buckthornrail/dispatch/claim_table.hpp"

#include <algorithm>

namespace buckthornrail::dispatch {

claim_result claim_table::apply(const claim_command& command)
{
    m_clock = std::max(m_clock, command.wallSeconds);
    expire();
    const auto found = m_claims.find(command.key);
    if (found == m_claims.end()) {
        // A claim can only be moved while it exists: once it has expired, the proof that its holder has not run may be
        // outdated as well.
        if (!command.replaces.attempt.request.empty())
            return { claim_outcome::Held, command.replaces };
        claim_record record { command.key, command.requestDigest, command.holder, m_clock + command.retainSeconds };
        m_byDeadline.emplace(record.retainUntil, record.key);
        m_claims.emplace(command.key, std::move(record));
        return { claim_outcome::Granted, command.holder };
    }
    auto& claim = found->second;
    if (claim.requestDigest != command.requestDigest)
        return { claim_outcome::Reused, claim.holder };
    if (claim.holder == command.holder)
        return { claim_outcome::Granted, claim.holder };
    if (claim.holder != command.replaces)
        return { claim_outcome::Held, claim.holder };
    claim.holder = command.holder;
    return { claim_outcome::Granted, claim.holder };
}

std::vector<claim_record> claim_table::records() const
{
    std::vector<claim_record> all;
    all.reserve(m_claims.size());
    for (const auto& [key, record] : m_claims)
        all.push_back(record);
    return all;
}

void claim_table::restore(std::vector<claim_record> records, std::uint64_t clock)
{
    m_claims.clear();
    m_byDeadline.clear();
    m_clock = clock;
    for (auto& record : records) {
        m_byDeadline.emplace(record.retainUntil, record.key);
        const claim_key key = record.key;
        m_claims.emplace(key, std::move(record));
    }
}

void claim_table::expire()
{
    while (!m_byDeadline.empty() && m_byDeadline.begin()->first <= m_clock) {
        m_claims.erase(m_byDeadline.begin()->second);
        m_byDeadline.erase(m_byDeadline.begin());
    }
}

} // namespace buckthornrail::dispatch
