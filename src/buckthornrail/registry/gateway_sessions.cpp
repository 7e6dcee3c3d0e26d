/// @file
/// @brief Sums of sessions, and how they travel between leader and members.
#include "buckthornrail/registry/gateway_sessions.hpp"

#include <algorithm>
#include <utility>

namespace buckthornrail::registry {
namespace {

/// Stands on the board for what the leader told of all other controllers.
constexpr session_number elsewhere = 0;

/// @param living sorted, with that gateway
std::uint32_t ordinalIn(const std::vector<std::string>& living, const std::string& gateway)
{
    const auto at = std::lower_bound(living.begin(), living.end(), gateway);
    return static_cast<std::uint32_t>(at - living.begin());
}

void add(session_totals& sum, const session_totals& more)
{
    sum.gateways += more.gateways;
    sum.openAttempts += more.openAttempts;
}

} // namespace

void gateway_sessions::begin(bool leads, steady_time now)
{
    m_leads = leads;
    m_gatewayTable.begin(now);
    for (const auto& [member, sums] : m_members)
        m_loads.forget(member);
    m_members.clear();
    m_loads.forget(elsewhere);
    m_elsewhere = {};
    m_budgetSharers = 0;
    m_answered = m_reported; // what is under way is another leader's to answer
    for (auto& [number, one] : m_sessions)
        one.reportedIn = 0;
}

void gateway_sessions::recordHeartbeat(
    session_number session, const gateway_heartbeat& heartbeat, const target_table& table, steady_time now)
{
    auto& one = m_sessions[session];
    if (one.heartbeat.usage.incarnation != heartbeat.usage.incarnation
        || one.heartbeat.usage.id != heartbeat.usage.id) {
        one.reportedIn = 0;
        one.earlier.reset();
        one.ordinal.reset();
    }
    m_openAttempts += heartbeat.openAttempts - one.heartbeat.openAttempts;
    one.heartbeat = heartbeat;
    one.isUnreported = true;
    if (heartbeat.targetRevision == table.revision())
        m_loads.update(session, table, heartbeat.loads);
    if (m_leads)
        m_gatewayTable.recordHeartbeat(heartbeat.usage, now);
}

void gateway_sessions::forget(session_number session)
{
    if (const auto known = m_sessions.extract(session))
        m_openAttempts -= known.mapped().heartbeat.openAttempts;
    m_members.erase(session);
    m_loads.forget(session);
}

session_totals gateway_sessions::ownSums() const
{
    return { static_cast<std::uint32_t>(m_sessions.size()), m_openAttempts, 0, {} };
}

bool gateway_sessions::isCounted(const gateway_entry& one) const
{
    return one.reportedIn != 0 && one.reportedIn <= m_answered;
}

member_report gateway_sessions::report(const target_table& table)
{
    member_report made;
    made.sequence = ++m_reported;
    made.sums = ownSums();
    made.sums.targetRevision = table.revision();
    made.sums.loads = m_loads.othersOf(elsewhere, table);
    for (auto& [number, one] : m_sessions) {
        const bool wasCounted = isCounted(one);
        if (!std::exchange(one.isUnreported, false) && wasCounted)
            continue;
        made.lives.push_back(one.heartbeat.usage);
        // A report that is lost takes its lives with it: they are known to be counted once a later one is answered.
        if (!wasCounted)
            one.reportedIn = made.sequence;
    }
    return made;
}

fleet_report gateway_sessions::answer(
    session_number member, const member_report& report, const target_table& table, steady_time now)
{
    fleet_report made;
    made.answers = report.sequence;
    m_members[member] = report.sums;
    if (report.sums.targetRevision == table.revision())
        m_loads.update(member, table, report.sums.loads);
    for (const auto& life : report.lives)
        m_gatewayTable.recordHeartbeat(life, now);
    const auto living = m_gatewayTable.liveGateways(now);
    for (const auto& life : report.lives) {
        made.ordinals.push_back({ life.id, ordinalIn(living, life.id) });
        if (auto spent = m_gatewayTable.earlierRetries(life.id))
            made.earlier.push_back({ life.id, std::move(*spent) });
    }
    made.others = ownSums();
    for (const auto& [number, sums] : m_members) {
        if (number != member)
            add(made.others, sums);
    }
    made.others.targetRevision = table.revision();
    made.others.loads = m_loads.othersOf(member, table);
    made.budgetSharers = static_cast<std::uint32_t>(m_gatewayTable.count(now));
    return made;
}

void gateway_sessions::applyLeaderAnswer(const fleet_report& answer, const target_table& table)
{
    if (m_leads || answer.answers <= m_answered || answer.answers > m_reported)
        return; // of an earlier leader, or overtaken
    m_answered = answer.answers;
    m_elsewhere = answer.others;
    m_budgetSharers = answer.budgetSharers;
    if (answer.others.targetRevision == table.revision())
        m_loads.update(elsewhere, table, answer.others.loads);
    for (const auto& earlier : answer.earlier) {
        for (auto& [number, one] : m_sessions) {
            if (one.heartbeat.usage.id == earlier.gateway && isCounted(one))
                one.earlier = earlier.spent;
        }
    }
    std::map<std::string, std::uint32_t> ordinals;
    for (const auto& row : answer.ordinals)
        ordinals[row.gateway] = row.ordinal;
    for (auto& [number, one] : m_sessions) {
        const auto row = ordinals.find(one.heartbeat.usage.id);
        if (row != ordinals.end())
            one.ordinal = row->second;
    }
}

fleet_summary gateway_sessions::summaryFor(session_number session, const target_table& table, steady_time now) const
{
    fleet_summary made;
    const auto found = m_sessions.find(session);
    if (found == m_sessions.end())
        return made;
    const auto& one = found->second;
    session_totals all = ownSums();
    add(all, m_elsewhere);
    for (const auto& [number, sums] : m_members)
        add(all, sums);
    made.gateways = all.gateways;
    made.othersOpenAttempts = all.openAttempts - one.heartbeat.openAttempts;
    made.othersLoads = m_loads.othersOf(session, table);
    if (m_leads) {
        made.budgetSharers = static_cast<std::uint32_t>(m_gatewayTable.count(now));
        made.ordinal = ordinalIn(m_gatewayTable.liveGateways(now), one.heartbeat.usage.id);
        made.earlier = m_gatewayTable.earlierRetries(one.heartbeat.usage.id);
        return made;
    }
    // A number that leaves this gateway out would let all parts sum up to more than the whole.
    if (isCounted(one)) {
        made.budgetSharers = m_budgetSharers;
        made.ordinal = one.ordinal;
    }
    if (!one.heartbeat.usage.isComplete)
        made.earlier = one.earlier;
    return made;
}

} // namespace buckthornrail::registry
