/// @file
/// @brief Totals of gateway sessions, exchanged between leader and followers.
#include "buckthornrail/registry/gateway_sessions.hpp"

#include <algorithm>
#include <utility>

namespace buckthornrail::registry {
namespace {

/// Key in the load table of the other controllers' loads, as the leader reported them.
constexpr session_number otherControllers = 0;

/// @return a gateway's index among the live gateways
/// @param liveIds sorted ids, including the gateway's
std::uint32_t ordinalIn(const std::vector<std::string>& liveIds, const std::string& gateway)
{
    const auto at = std::lower_bound(liveIds.begin(), liveIds.end(), gateway);
    return static_cast<std::uint32_t>(at - liveIds.begin());
}

void add(session_totals& sum, const session_totals& more)
{
    sum.gateways += more.gateways;
    sum.openAttempts += more.openAttempts;
}

} // namespace

void gateway_sessions::begin(bool isLeader, steady_time now)
{
    m_isLeader = isLeader;
    m_gatewayTable.begin(now);
    for (const auto& [member, totals] : m_members)
        m_loads.forget(member);
    m_members.clear();
    m_loads.forget(otherControllers);
    m_otherControllers = {};
    m_budgetSharers = 0;
    m_answered = m_reported; // answers to reports in flight come from an earlier leader
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
    if (m_isLeader)
        m_gatewayTable.recordHeartbeat(heartbeat.usage, now);
}

void gateway_sessions::forget(session_number session)
{
    if (const auto known = m_sessions.extract(session))
        m_openAttempts -= known.mapped().heartbeat.openAttempts;
    m_members.erase(session);
    m_loads.forget(session);
}

session_totals gateway_sessions::ownTotals() const
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
    made.sums = ownTotals();
    made.sums.targetRevision = table.revision();
    made.sums.loads = m_loads.othersOf(otherControllers, table);
    for (auto& [number, one] : m_sessions) {
        const bool wasCounted = isCounted(one);
        if (!std::exchange(one.isUnreported, false) && wasCounted)
            continue;
        made.lives.push_back(one.heartbeat.usage);
        // Reports may be lost, so each one includes the usage until the latest report that contains it is answered.
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
    for (const auto& usage : report.lives)
        m_gatewayTable.recordHeartbeat(usage, now);
    const auto liveIds = m_gatewayTable.liveGateways(now);
    for (const auto& usage : report.lives) {
        made.ordinals.push_back({ usage.id, ordinalIn(liveIds, usage.id) });
        if (auto spent = m_gatewayTable.earlierRetries(usage.id))
            made.earlier.push_back({ usage.id, std::move(*spent) });
    }
    made.others = ownTotals();
    for (const auto& [number, totals] : m_members) {
        if (number != member)
            add(made.others, totals);
    }
    made.others.targetRevision = table.revision();
    made.others.loads = m_loads.othersOf(member, table);
    made.budgetSharers = static_cast<std::uint32_t>(m_gatewayTable.count(now));
    return made;
}

void gateway_sessions::applyLeaderAnswer(const fleet_report& answer, const target_table& table)
{
    if (m_isLeader || answer.answers <= m_answered || answer.answers > m_reported)
        return; // from an earlier leader, or older than one already applied
    m_answered = answer.answers;
    m_otherControllers = answer.others;
    m_budgetSharers = answer.budgetSharers;
    if (answer.others.targetRevision == table.revision())
        m_loads.update(otherControllers, table, answer.others.loads);
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
    session_totals all = ownTotals();
    add(all, m_otherControllers);
    for (const auto& [number, totals] : m_members)
        add(all, totals);
    made.gateways = all.gateways;
    made.othersOpenAttempts = all.openAttempts - one.heartbeat.openAttempts;
    made.othersLoads = m_loads.othersOf(session, table);
    if (m_isLeader) {
        made.budgetSharers = static_cast<std::uint32_t>(m_gatewayTable.count(now));
        made.ordinal = ordinalIn(m_gatewayTable.liveGateways(now), one.heartbeat.usage.id);
        made.earlier = m_gatewayTable.earlierRetries(one.heartbeat.usage.id);
        return made;
    }
    // Gateways divide the budget by this number. One that doesn't include this gateway would let the parts add up to
    // more than the whole budget.
    if (isCounted(one)) {
        made.budgetSharers = m_budgetSharers;
        made.ordinal = one.ordinal;
    }
    if (!one.heartbeat.usage.isComplete)
        made.earlier = one.earlier;
    return made;
}

} // namespace buckthornrail::registry
