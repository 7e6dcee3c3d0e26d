/// @file
/// @brief Attempts whose requests may have crashed a target.
#include "buckthornrail/gateway/crash_watch.hpp"

#include <algorithm>

namespace buckthornrail::gateway {

void crash_watch::onAttemptOpened(call_number call, const std::vector<selected_part>& parts, steady_time now,
    std::vector<request_fingerprint> promptParts)
{
    m_open[call] = { parts, std::move(promptParts), now, {}, {}, false };
}

void crash_watch::onFirstEvent(call_number call, steady_time now)
{
    const auto found = m_open.find(call);
    if (found == m_open.end() || found->second.hasEvent)
        return;
    found->second.hasEvent = true;
    found->second.firstEventAt = now;
    found->second.suspectUntil = now + m_options.suspectFor;
}

std::optional<steady_time> crash_watch::takeSurvival(call_number call, bool isComplete, steady_time now)
{
    const auto found = m_open.find(call);
    if (found == m_open.end())
        return std::nullopt;
    const auto& open = found->second;
    const bool hasOutlived = isComplete || (open.hasEvent && now >= open.suspectUntil);
    if (!hasOutlived || !m_soundCalls.insert(call).second)
        return std::nullopt;
    const auto begunAt = open.hasEvent ? open.firstEventAt : open.openedAt;
    m_soundParts.record(open.promptParts);
    return begunAt;
}

void crash_watch::forgetCall(call_number call)
{
    m_open.erase(call);
    m_soundCalls.erase(call);
}

bool crash_watch::mayHaveCrashedTarget(call_number call, steady_time now) const
{
    const auto found = m_open.find(call);
    if (found == m_open.end() || m_soundCalls.contains(call))
        return false;
    return !found->second.hasEvent || now < found->second.suspectUntil;
}

bool crash_watch::onConnectionLost(call_number call, const request_fingerprint& fingerprint, steady_time now)
{
    const bool isSuspect = mayHaveCrashedTarget(call, now);
    auto ended = m_open.extract(call);
    if (!isSuspect)
        return false;
    dropExpired(now);
    auto& lost = ended.mapped();
    m_lost.push_back({ call, fingerprint, std::move(lost.parts), std::move(lost.promptParts),
        now + m_options.probeTimeout, now + m_options.lostTtl });
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
        std::vector<request_fingerprint> promptParts;
    };
    std::map<registry::target_incarnation, std::vector<suspect>> suspectsByTarget;
    for (const auto& [call, openAttempt] : m_open) {
        if (!mayHaveCrashedTarget(call, now))
            continue;
        for (const auto& target : endedTargets(openAttempt.parts, address, replacement))
            suspectsByTarget[target].push_back({ fingerprintOf(call), openAttempt.openedAt, openAttempt.promptParts });
    }
    for (const auto& lost : m_lost) {
        for (const auto& target : endedTargets(lost.parts, address, replacement))
            suspectsByTarget[target].push_back({ lost.fingerprint, lost.probeDeadline, lost.promptParts });
    }
    std::erase_if(m_lost, [&](const auto& lost) { return !endedTargets(lost.parts, address, replacement).empty(); });
    std::vector<registry::crash_report> reports;
    const auto elsewhere = partsOpenElsewhere(address);
    for (auto& [target, suspects] : suspectsByTarget) {
        std::sort(
            suspects.begin(), suspects.end(), [](const auto& a, const auto& b) { return a.openedAt > b.openedAt; });
        registry::crash_report report { target, {} };
        const double begun = static_cast<double>(suspects.size() * m_gatewayCount);
        for (const auto& suspect : suspects) {
            const bool isListed
                = std::find(report.begun.begin(), report.begun.end(), suspect.fingerprint) != report.begun.end();
            if (isListed || report.begun.size() >= m_options.maxSuspects)
                continue;
            report.begun.push_back(suspect.fingerprint);
            report.parts.push_back(suspectPartsOf(suspect.promptParts, elsewhere, begun));
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

crash_watch::open_parts crash_watch::partsOpenElsewhere(const std::string& crashedAddress) const
{
    open_parts elsewhere;
    for (const auto& [call, open] : m_open) {
        const auto isCrashed = [&crashedAddress](const auto& part) { return part.address == crashedAddress; };
        if (std::any_of(open.parts.begin(), open.parts.end(), isCrashed))
            continue;
        ++elsewhere.attempts;
        for (const auto& part : open.promptParts)
            ++elsewhere.attemptsWith[part];
    }
    return elsewhere;
}

std::vector<registry::suspect_part> crash_watch::suspectPartsOf(
    const std::vector<request_fingerprint>& promptParts, const open_parts& elsewhere, double requests) const
{
    std::vector<registry::suspect_part> suspects;
    for (const auto& part : promptParts) {
        const auto open = elsewhere.attemptsWith.find(part);
        const std::size_t openWith = open == elsewhere.attemptsWith.end() ? 0 : open->second;
        const double share = m_soundParts.shareOf(part, elsewhere.attempts, openWith);
        suspects.push_back({ part, registry::surpriseOfPresence(share, requests) });
    }
    return suspects;
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
