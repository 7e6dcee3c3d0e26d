/// @file
/// @brief State transitions and timeouts of quarantined requests.
#include "buckthornrail/registry/quarantine.hpp"

#include <algorithm>

namespace buckthornrail::registry {
namespace {

/// Crashes after which a request is proven, whether or not it ran alone.
constexpr std::uint32_t maxCrashes = 3;
/// Crashes from which on a request may not share a target with another held request.
constexpr std::uint32_t heldCrashes = 2;
/// Ended targets remembered per request, to count a target once although several gateways report it. Their reports
/// arrive within seconds, and at most this many targets end under one request in that time.
constexpr std::size_t maxEndedTargets = 8;

/// A request that has run for this long is no longer blamed if its target ends, so its trial is over. The timeout also
/// ends trials of gateways that are gone.
constexpr milliseconds trialTimeout { 5000 };
constexpr milliseconds suspectTimeout { 600000 };
/// Used when the crashes happened outside of trials: several targets that end at once may share another cause, so the
/// request soon gets one more trial.
constexpr milliseconds unconfirmedTimeout { 5000 };
constexpr milliseconds firstProvenTimeout { 60000 };
constexpr milliseconds maxProvenTimeout { 3600000 };
/// Interval at which an expiry that has had no effect yet is submitted again, as it may have been lost.
constexpr milliseconds expiryRetryPeriod { 1000 };

} // namespace

milliseconds timeoutOf(const quarantine_entry& entry)
{
    if (entry.trial != 0)
        return trialTimeout;
    if (entry.stage != quarantine_stage::Proven)
        return suspectTimeout;
    if (entry.proofs == 0)
        return unconfirmedTimeout;
    constexpr std::uint32_t maxDoublings = 16;
    return std::min(firstProvenTimeout * (1U << std::min(entry.proofs - 1, maxDoublings)), maxProvenTimeout);
}

void quarantine_table::apply(const quarantine_change& change)
{
    for (const auto& report : change.crashes) {
        for (const auto& fingerprint : report.begun)
            applyCrash(fingerprint, report.target);
    }
    for (const auto& fingerprint : change.cleared)
        remove(fingerprint);
    for (const auto& end : change.ends)
        applyEnd(end);
    for (const auto& expiry : change.expired)
        applyExpiry(expiry);
    for (const auto& claim : change.claims)
        applyClaim(claim);
}

void quarantine_table::applyCrash(const request_fingerprint& fingerprint, const target_incarnation& target)
{
    auto found = m_entries.find(fingerprint);
    if (found == m_entries.end()) {
        prune();
        found = m_entries.try_emplace(fingerprint).first;
        found->second.stage = quarantine_stage::None;
    }
    auto& entry = found->second;
    if (std::find(entry.ended.begin(), entry.ended.end(), target) != entry.ended.end())
        return; // already reported by another gateway
    entry.ended.push_back(target);
    if (entry.ended.size() > maxEndedTargets)
        entry.ended.erase(entry.ended.begin());
    ++entry.crashes;
    entry.revision = ++m_revision;
    const bool isAlone = entry.stage == quarantine_stage::Held && entry.trial != 0 && entry.trialTarget == target;
    endTrial(entry);
    if (isAlone)
        ++entry.proofs;
    const bool isProven = isAlone || entry.crashes >= maxCrashes;
    if (isProven && (entry.stage == quarantine_stage::Proven || m_provenCount < m_options.maxProven))
        setStage(entry, quarantine_stage::Proven);
    else if (entry.crashes >= heldCrashes)
        setStage(entry, quarantine_stage::Held);
    else
        setStage(entry, quarantine_stage::Suspect);
}

void quarantine_table::applyClaim(const trial_claim& claim)
{
    if (refusalOf(claim) != trial_refusal::None)
        return;
    auto& entry = m_entries.at(claim.fingerprint);
    if (entry.trial == claim.trial)
        return;
    entry.trial = claim.trial;
    entry.trialTarget = claim.target;
    entry.revision = ++m_revision;
    if (entry.stage == quarantine_stage::Held)
        m_trialTargets[claim.target] = claim.fingerprint;
}

trial_refusal quarantine_table::refusalOf(const trial_claim& claim) const
{
    const auto* entry = find(claim.fingerprint);
    if (entry == nullptr)
        return trial_refusal::Unknown;
    if (entry->stage == quarantine_stage::Proven)
        return trial_refusal::Proven;
    if (entry->trial != 0)
        return entry->trial == claim.trial ? trial_refusal::None : trial_refusal::Running;
    const bool isTaken = entry->stage == quarantine_stage::Held && m_trialTargets.contains(claim.target);
    return isTaken ? trial_refusal::TargetTaken : trial_refusal::None;
}

void quarantine_table::applyEnd(const trial_end& end)
{
    const auto found = m_entries.find(end.fingerprint);
    if (found == m_entries.end() || found->second.trial != end.trial || end.trial == 0)
        return;
    endTrial(found->second);
    found->second.revision = ++m_revision;
}

void quarantine_table::applyExpiry(const quarantine_expiry& expiry)
{
    const auto found = m_entries.find(expiry.fingerprint);
    if (found == m_entries.end() || found->second.revision != expiry.revision)
        return;
    auto& entry = found->second;
    if (entry.trial != 0) {
        endTrial(entry);
        entry.revision = ++m_revision;
    } else if (entry.stage == quarantine_stage::Proven) {
        entry.revision = ++m_revision;
        setStage(entry, quarantine_stage::Held);
    } else {
        remove(expiry.fingerprint);
    }
}

void quarantine_table::setStage(quarantine_entry& entry, quarantine_stage stage)
{
    if (entry.stage == stage)
        return;
    if (entry.stage == quarantine_stage::Proven)
        --m_provenCount;
    if (stage == quarantine_stage::Proven)
        ++m_provenCount;
    entry.stage = stage;
    entry.stageRevision = m_revision;
    m_stageRevision = m_revision;
}

void quarantine_table::endTrial(quarantine_entry& entry)
{
    if (entry.trial == 0)
        return;
    if (entry.stage == quarantine_stage::Held)
        m_trialTargets.erase(entry.trialTarget);
    entry.trial = 0;
    entry.trialTarget = {};
}

void quarantine_table::remove(const request_fingerprint& fingerprint)
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end())
        return;
    endTrial(found->second);
    if (found->second.stage == quarantine_stage::Proven)
        --m_provenCount;
    m_entries.erase(found);
    m_stageRevision = ++m_revision;
    m_removed[m_revision] = fingerprint;
    while (m_removed.size() > m_options.maxRetainedRemovals) {
        m_prunedRevision = m_removed.begin()->first;
        m_removed.erase(m_removed.begin());
    }
}

void quarantine_table::prune()
{
    if (m_entries.size() - m_provenCount < m_options.maxSuspects)
        return;
    auto oldest = m_entries.end();
    for (auto candidate = m_entries.begin(); candidate != m_entries.end(); ++candidate) {
        if (candidate->second.stage == quarantine_stage::Proven)
            continue;
        if (oldest == m_entries.end() || candidate->second.revision < oldest->second.revision)
            oldest = candidate;
    }
    if (oldest != m_entries.end())
        remove(request_fingerprint(oldest->first));
}

const quarantine_entry* quarantine_table::find(const request_fingerprint& fingerprint) const
{
    const auto found = m_entries.find(fingerprint);
    return found == m_entries.end() ? nullptr : &found->second;
}

quarantine_delta quarantine_table::changesSince(std::uint64_t since) const
{
    quarantine_delta delta;
    delta.to = m_stageRevision;
    // A receiver that is ahead had a session with a controller whose log entries this one doesn't have yet, or no
    // longer has.
    delta.full = since < m_prunedRevision || since > m_stageRevision;
    for (const auto& [fingerprint, entry] : m_entries) {
        if (delta.full || entry.stageRevision > since)
            delta.standings.push_back({ fingerprint, entry.stage });
    }
    if (delta.full)
        return delta;
    for (auto removal = m_removed.upper_bound(since); removal != m_removed.end(); ++removal) {
        if (!m_entries.contains(removal->second))
            delta.standings.push_back({ removal->second, quarantine_stage::None });
    }
    return delta;
}

void quarantine_table::restore(std::map<request_fingerprint, quarantine_entry> entries, std::uint64_t revision)
{
    m_entries = std::move(entries);
    m_trialTargets.clear();
    m_removed.clear();
    m_revision = revision;
    m_stageRevision = revision;
    m_prunedRevision = revision; // a snapshot doesn't list earlier removals
    m_provenCount = 0;
    for (const auto& [fingerprint, entry] : m_entries) {
        m_provenCount += entry.stage == quarantine_stage::Proven ? 1 : 0;
        if (entry.trial != 0 && entry.stage == quarantine_stage::Held)
            m_trialTargets[entry.trialTarget] = fingerprint;
    }
}

std::vector<quarantine_expiry> quarantine_timers::takeExpired(const quarantine_table& table, steady_time now)
{
    if (m_seenRevision != table.revision()) {
        m_seenRevision = table.revision();
        std::erase_if(m_timers, [&table](const auto& item) { return table.find(item.first) == nullptr; });
        for (const auto& [fingerprint, entry] : table.entries()) {
            auto& known = m_timers[fingerprint];
            if (known.revision != entry.revision)
                known = { entry.revision, now + timeoutOf(entry) };
        }
    }
    std::vector<quarantine_expiry> ended;
    for (auto& [fingerprint, known] : m_timers) {
        if (now < known.deadline)
            continue;
        known.deadline = now + expiryRetryPeriod;
        ended.push_back({ fingerprint, known.revision });
    }
    return ended;
}

void quarantine_view::apply(const quarantine_delta& delta)
{
    if (delta.full)
        m_stages.clear();
    for (const auto& status : delta.standings) {
        if (status.stage == quarantine_stage::None)
            m_stages.erase(status.fingerprint);
        else
            m_stages[status.fingerprint] = status.stage;
    }
    m_revision = delta.to;
}

quarantine_stage quarantine_view::stageOf(const request_fingerprint& fingerprint) const
{
    const auto found = m_stages.find(fingerprint);
    return found == m_stages.end() ? quarantine_stage::None : found->second;
}

} // namespace buckthornrail::registry
