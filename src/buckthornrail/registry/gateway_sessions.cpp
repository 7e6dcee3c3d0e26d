/// @file
/// @brief Totals of gateway sessions, exchanged between leader and followers.
#include "buckthornrail/registry/gateway_sessions.hpp"

#include <algorithm>
#include <utility>

namespace buckthornrail::registry {
namespace {

/// Key in the load and demand tables of the other controllers' sums, as the leader reported them.
constexpr session_number otherControllers = 0;

/// @return a gateway's index among the live gateways
/// @param liveIds sorted ids, including the gateway's
std::uint32_t ordinalIn(const std::vector<std::string>& liveIds, const std::string& gateway)
{
    const auto position = std::lower_bound(liveIds.begin(), liveIds.end(), gateway);
    return static_cast<std::uint32_t>(position - liveIds.begin());
}

void add(session_totals& sum, const session_totals& more)
{
    sum.gateways += more.gateways;
    sum.openAttempts += more.openAttempts;
}

} // namespace

void gateway_sessions::reset(bool isLeader, steady_time now)
{
    m_isLeader = isLeader;
    m_gatewayTable.reset(now);
    for (const auto& [member, entry] : m_members) {
        m_loads.remove(member);
        m_demand.remove(member);
    }
    m_members.clear();
    m_loads.remove(otherControllers);
    m_demand.remove(otherControllers);
    m_otherControllers = {};
    m_budgetSharers = 0;
    m_acknowledgedSequence = m_reportSequence; // responses to reports in flight come from an earlier leader
    for (auto& [number, entry] : m_sessions)
        entry.reportedIn = 0;
}

void gateway_sessions::recordHeartbeat(
    session_number session, const gateway_activity& activity, const target_table& table, steady_time now)
{
    auto& entry = m_sessions[session];
    if (entry.activity.usage.incarnation != activity.usage.incarnation
        || entry.activity.usage.id != activity.usage.id) {
        entry.reportedIn = 0;
        entry.earlier.reset();
        entry.ordinal.reset();
    }
    m_openAttempts += activity.openAttempts - entry.activity.openAttempts;
    entry.activity = activity;
    entry.isUnreported = true;
    if (activity.targetRevision == table.revision())
        m_loads.update(session, table, activity.loads);
    m_demand.update(session, activity.demand, now);
    if (m_isLeader)
        m_gatewayTable.recordHeartbeat(activity.usage, now);
}

void gateway_sessions::remove(session_number session)
{
    if (const auto known = m_sessions.extract(session))
        m_openAttempts -= known.mapped().activity.openAttempts;
    m_members.erase(session);
    m_loads.remove(session);
    m_demand.remove(session);
}

session_totals gateway_sessions::ownTotals() const
{
    return { static_cast<std::uint32_t>(m_sessions.size()), m_openAttempts, 0, {}, {} };
}

bool gateway_sessions::isCounted(const gateway_entry& entry) const
{
    return entry.reportedIn != 0 && entry.reportedIn <= m_acknowledgedSequence;
}

member_report gateway_sessions::report(const target_table& table, steady_time now)
{
    member_report report;
    report.sequence = ++m_reportSequence;
    report.sums = ownTotals();
    report.sums.targetRevision = table.revision();
    report.sums.loads = m_loads.othersOf(otherControllers, table);
    report.sums.demand = m_demand.othersOf(otherControllers, now);
    for (auto& [number, entry] : m_sessions) {
        const bool wasCounted = isCounted(entry);
        if (!std::exchange(entry.isUnreported, false) && wasCounted)
            continue;
        report.lives.push_back(entry.activity.usage);
        // Reports may be lost, so each one includes the usage until the leader responds to the latest that contains it.
        if (!wasCounted)
            entry.reportedIn = report.sequence;
    }
    return report;
}

void gateway_sessions::recordSums(
    session_number member, const member_report& report, const target_table& table, steady_time now)
{
    auto& entry = m_members[member];
    if (report.sequence < entry.sequence)
        return;
    entry = { report.sequence, report.sums };
    if (report.sums.targetRevision == table.revision())
        m_loads.update(member, table, report.sums.loads);
    m_demand.update(member, report.sums.demand, now);
}

fleet_report gateway_sessions::respondTo(
    session_number member, const member_report& report, const target_table& table, steady_time now)
{
    fleet_report response;
    response.reportSequence = report.sequence;
    recordSums(member, report, table, now);
    for (const auto& usage : report.lives)
        m_gatewayTable.recordHeartbeat(usage, now);
    const auto liveIds = m_gatewayTable.liveGateways(now);
    for (const auto& usage : report.lives) {
        response.ordinals.push_back({ usage.id, ordinalIn(liveIds, usage.id) });
        if (auto spent = m_gatewayTable.earlierRetries(usage.id))
            response.earlier.push_back({ usage.id, std::move(*spent) });
    }
    response.others = ownTotals();
    for (const auto& [number, entry] : m_members) {
        if (number != member)
            add(response.others, entry.totals);
    }
    response.others.targetRevision = table.revision();
    response.others.loads = m_loads.othersOf(member, table);
    response.others.demand = m_demand.othersOf(member, now);
    response.budgetSharers = static_cast<std::uint32_t>(m_gatewayTable.count(now));
    return response;
}

void gateway_sessions::applyLeaderResponse(const fleet_report& response, const target_table& table, steady_time now)
{
    if (m_isLeader || response.reportSequence <= m_acknowledgedSequence || response.reportSequence > m_reportSequence)
        return; // from an earlier leader, or older than one already applied
    m_acknowledgedSequence = response.reportSequence;
    m_otherControllers = response.others;
    m_budgetSharers = response.budgetSharers;
    if (response.others.targetRevision == table.revision())
        m_loads.update(otherControllers, table, response.others.loads);
    m_demand.update(otherControllers, response.others.demand, now);
    for (const auto& earlier : response.earlier) {
        for (auto& [number, entry] : m_sessions) {
            if (entry.activity.usage.id == earlier.gateway && isCounted(entry))
                entry.earlier = earlier.spent;
        }
    }
    std::map<std::string, std::uint32_t> ordinals;
    for (const auto& row : response.ordinals)
        ordinals[row.gateway] = row.ordinal;
    for (auto& [number, entry] : m_sessions) {
        const auto row = ordinals.find(entry.activity.usage.id);
        if (row != ordinals.end())
            entry.ordinal = row->second;
    }
}

fleet_summary gateway_sessions::summaryFor(session_number session, const target_table& table, steady_time now) const
{
    fleet_summary summary;
    const auto found = m_sessions.find(session);
    if (found == m_sessions.end())
        return summary;
    const auto& entry = found->second;
    session_totals all = ownTotals();
    add(all, m_otherControllers);
    for (const auto& [number, member] : m_members)
        add(all, member.totals);
    summary.gateways = all.gateways;
    summary.othersOpenAttempts = all.openAttempts - entry.activity.openAttempts;
    summary.othersLoads = m_loads.othersOf(session, table);
    summary.othersDemand = m_demand.othersOf(session, now);
    if (m_isLeader) {
        // A session may date from the time as a follower. The number then need not include its gateway, and the parts
        // could add up to more than the whole budget.
        if (!m_gatewayTable.contains(entry.activity.usage.id, entry.activity.usage.incarnation, now))
            return summary;
        summary.budgetSharers = static_cast<std::uint32_t>(m_gatewayTable.count(now));
        summary.ordinal = ordinalIn(m_gatewayTable.liveGateways(now), entry.activity.usage.id);
        summary.earlier = m_gatewayTable.earlierRetries(entry.activity.usage.id);
        return summary;
    }
    // Gateways divide the budget by this number. One that doesn't include this gateway would let the parts add up to
    // more than the whole budget.
    if (isCounted(entry)) {
        summary.budgetSharers = m_budgetSharers;
        summary.ordinal = entry.ordinal;
    }
    if (!entry.activity.usage.isComplete)
        summary.earlier = entry.earlier;
    return summary;
}

} // namespace buckthornrail::registry
