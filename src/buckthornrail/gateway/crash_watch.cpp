/// @file
/// @brief Attempts whose requests may have crashed a target.
#include "buckthornrail/gateway/crash_watch.hpp"

#include <algorithm>

namespace buckthornrail::gateway {

void crash_watch::onAttemptOpened(call_number call, const std::vector<selected_part>& parts, steady_time now)
{
    m_open[call] = { parts, now, {}, false };
}

void crash_watch::onFirstEvent(call_number call, steady_time now)
{
    const auto found = m_open.find(call);
    if (found == m_open.end() || found->second.hasEvent)
        return;
    found->second.hasEvent = true;
    found->second.suspectUntil = now + m_options.suspectFor;
}

bool crash_watch::mayHaveCrashedTarget(call_number call, steady_time now) const
{
    const auto found = m_open.find(call);
    return found != m_open.end() && (!found->second.hasEvent || now < found->second.suspectUntil);
}

bool crash_watch::onConnectionLost(call_number call, const request_fingerprint& fingerprint, steady_time now)
{
    const bool isSuspect = mayHaveCrashedTarget(call, now);
    auto ended = m_open.extract(call);
    if (!isSuspect)
        return false;
    dropExpired(now);
    m_lost.push_back(
        { call, fingerprint, std::move(ended.mapped().parts), now + m_options.probeTimeout, now + m_options.lostTtl });
    return true;
}

bool crash_watch::awaitsTargetState(call_number call, steady_time now) const
{
    return std::any_of(m_lost.begin(), m_lost.end(),
        [call, now](const auto& lost) { return lost.call == call && now < lost.probeDeadline; });
}

std::vector<registry::target_incarnation> crash_watch::endedTargets(const std::vector<selected_part>& parts,
    const std::string& address, const registry::target_incarnation& replacement)
{
    std::vector<registry::target_incarnation> targets;
    for (const auto& part : parts) {
        if (part.address == address && part.target != replacement)
            targets.push_back(part.target);
    }
    return targets;
}

std::vector<registry::crash_report> crash_watch::onTargetsEnded(const std::string& address,
    const registry::target_incarnation& replacement, const fingerprint_source& fingerprintOf, steady_time now)
{
    dropExpired(now);
    struct suspect {
        request_fingerprint fingerprint;
        steady_time openedAt {};
    };
    std::map<registry::target_incarnation, std::vector<suspect>> suspectsByTarget;
    for (const auto& [call, openAttempt] : m_open) {
        if (!mayHaveCrashedTarget(call, now))
            continue;
        for (const auto& target : endedTargets(openAttempt.parts, address, replacement))
            suspectsByTarget[target].push_back({ fingerprintOf(call), openAttempt.openedAt });
    }
    for (const auto& lost : m_lost) {
        for (const auto& target : endedTargets(lost.parts, address, replacement))
            suspectsByTarget[target].push_back({ lost.fingerprint, lost.probeDeadline });
    }
    std::erase_if(m_lost, [&](const auto& lost) { return !endedTargets(lost.parts, address, replacement).empty(); });
    std::vector<registry::crash_report> reports;
    for (auto& [target, suspects] : suspectsByTarget) {
        std::sort(
            suspects.begin(), suspects.end(), [](const auto& a, const auto& b) { return a.openedAt > b.openedAt; });
        registry::crash_report report { target, {} };
        for (const auto& suspect : suspects) {
            const bool isListed
                = std::find(report.begun.begin(), report.begun.end(), suspect.fingerprint) != report.begun.end();
            if (!isListed && report.begun.size() < m_options.maxSuspects)
                report.begun.push_back(suspect.fingerprint);
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

void crash_watch::onTargetAlive(const std::string& address)
{
    for (auto& lost : m_lost) {
        if (lost.parts.front().address == address)
            lost.probeDeadline = {};
    }
}

void crash_watch::dropExpired(steady_time now)
{
    std::erase_if(m_lost, [now](const auto& lost) { return now >= lost.expiresAt; });
    while (m_lost.size() >= m_options.maxLost)
        m_lost.pop_front();
}

} // namespace buckthornrail::gateway
