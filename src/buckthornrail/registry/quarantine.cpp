/// @file
/// @brief State transitions and timeouts of quarantined requests.
#include "buckthornrail/registry/quarantine.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace buckthornrail::registry {
namespace {

/// Crashes after which a request is proven, whether or not it ran alone.
constexpr std::uint32_t maxCrashes = 3;
/// Crashes from which on a request may not share a target with another held request.
constexpr std::uint32_t heldCrashes = 2;
/// Ended targets remembered per fingerprint, to count a target once although several gateways report it. Their reports
/// arrive within seconds, and at most this many targets end under one fingerprint in that time.
constexpr std::size_t maxEndedTargets = 8;
constexpr std::size_t maxRelated = 8; ///< requests remembered per part

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

/// Whether a held entry is on trial on a path through a target.
bool isOnTrialAt(const quarantine_entry& entry, const target_incarnation& target)
{
    if (entry.stage != quarantine_stage::Held || entry.trial == 0)
        return false;
    const auto& members = entry.trialMembers;
    return entry.trialTarget == target || std::find(members.begin(), members.end(), target) != members.end();
}

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
    for (const auto& report : change.crashes)
        applyCrash(report);
    for (const auto& fingerprint : change.cleared)
        applyClearance(fingerprint);
    for (const auto& end : change.ends)
        applyEnd(end);
    for (const auto& expiry : change.expired)
        applyExpiry(expiry);
    for (const auto& claim : change.claims)
        applyClaim(claim);
}

void quarantine_table::applyCrash(const crash_report& report)
{
    const auto explanations = explanationsOf(report);
    for (const auto& proven : explanations) {
        const auto found = m_entries.find(proven);
        if (found == m_entries.end())
            continue; // another one explains all its crashes
        if (recordEnd(found->second, report.target))
            found->second.revision = ++m_revision;
        explainCrashes(proven);
    }
    if (!explanations.empty())
        return;
    if (isNewEnd(report.target)) {
        for (auto& [fingerprint, entry] : m_entries)
            entry.evidence.countEnd();
    }
    endMeetingTrials(report.target);
    ended_trials trials;
    for (std::size_t index = 0; index < report.begun.size(); ++index) {
        const auto& request = report.begun[index];
        const auto parts = report.partsOf(index);
        applyCrash(request, report.target, parts);
        for (const auto& suspect : parts)
            applyPartCrash(suspect, report.target, request, trials);
    }
    for (const auto& [trial, parts] : trials)
        decideTrial(parts);
    for (std::size_t index = 0; index < report.begun.size(); ++index) {
        for (const auto& suspect : report.partsOf(index))
            decideUntried(suspect.part);
    }
}

quarantine_entry& quarantine_table::entryOf(const request_fingerprint& fingerprint, bool isPart)
{
    const auto found = m_entries.find(fingerprint);
    if (found != m_entries.end())
        return found->second;
    prune();
    auto& entry = m_entries.try_emplace(fingerprint).first->second;
    entry.stage = quarantine_stage::None;
    entry.isPart = isPart;
    entry.evidence.countEnd(); // the crash that is being applied
    return entry;
}

bool quarantine_table::isNewEnd(const target_incarnation& target) const
{
    return std::none_of(m_entries.begin(), m_entries.end(), [&target](const auto& item) {
        const auto& ended = item.second.ended;
        return std::find(ended.begin(), ended.end(), target) != ended.end();
    });
}

bool quarantine_table::isHeldPart(const quarantine_entry& entry) const
{
    const auto evidence = entry.evidence.total();
    const bool isCoincidence = entry.evidence.hits < 2 || evidence < m_options.heldEvidence;
    const bool isRareAtThree = entry.crashes >= maxCrashes && evidence >= m_options.heldEvidenceOfThree;
    return !isCoincidence || isRareAtThree;
}

bool quarantine_table::recordEnd(quarantine_entry& entry, const target_incarnation& target)
{
    if (std::find(entry.ended.begin(), entry.ended.end(), target) != entry.ended.end())
        return false; // already reported by another gateway
    entry.ended.push_back(target);
    entry.presences.push_back(0);
    if (entry.ended.size() > maxEndedTargets) {
        entry.ended.erase(entry.ended.begin());
        entry.presences.erase(entry.presences.begin());
    }
    ++entry.crashes;
    return true;
}

void quarantine_table::applyCrash(
    const request_fingerprint& fingerprint, const target_incarnation& target, std::span<const suspect_part> parts)
{
    auto& entry = entryOf(fingerprint, false);
    entry.related.clear();
    for (const auto& suspect : parts)
        entry.related.push_back(suspect.part);
    if (!recordEnd(entry, target))
        return;
    entry.revision = ++m_revision;
    const bool isAlone = isOnTrialAt(entry, target);
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

void quarantine_table::applyPartCrash(const suspect_part& suspect, const target_incarnation& target,
    const request_fingerprint& request, ended_trials& trials)
{
    auto& entry = entryOf(suspect.part, true);
    auto& requests = entry.related;
    const bool isFurther = std::find(requests.begin(), requests.end(), request) == requests.end();
    if (isFurther)
        requests.push_back(request);
    if (requests.size() > maxRelated)
        requests.erase(requests.begin());
    if (!recordEnd(entry, target))
        return;
    entry.revision = ++m_revision;
    if (isFurther)
        entry.presences.back() = entry.evidence.countHit(suspect.presence);
    else
        entry.evidence.ignoreEnd();
    if (isOnTrialAt(entry, target)) {
        entry.evidence.countTrial();
        trials[entry.trial].push_back(suspect.part);
    }
    endTrial(entry);
    if (entry.stage != quarantine_stage::Proven)
        setStage(entry, isHeldPart(entry) ? quarantine_stage::Held : quarantine_stage::Suspect);
}

void quarantine_table::endMeetingTrials(const target_incarnation& target)
{
    std::set<trial_number> trials;
    for (const auto& [fingerprint, entry] : m_entries) {
        if (isOnTrialAt(entry, target))
            trials.insert(entry.trial);
    }
    if (trials.size() < 2)
        return;
    for (auto& [fingerprint, entry] : m_entries) {
        if (!isOnTrialAt(entry, target))
            continue;
        endTrial(entry);
        entry.revision = ++m_revision;
    }
}

void quarantine_table::decideTrial(const std::vector<request_fingerprint>& parts)
{
    surprise most = 0;
    for (const auto& part : parts) {
        const auto* entry = find(part);
        if (entry != nullptr) // otherwise it was evicted
            most = std::max(most, entry->evidence.total());
    }
    std::vector<request_fingerprint> likeliest;
    for (const auto& part : parts) {
        const auto* entry = find(part);
        // One request alone may crash targets for another reason than its parts.
        if (entry == nullptr || entry->related.size() < m_options.minRequestsOfPart)
            continue;
        const auto evidence = entry->evidence.total();
        if (evidence >= m_options.provenEvidence && evidence + m_options.decisiveMargin > most)
            likeliest.push_back(part);
    }
    for (const auto& part : likeliest) {
        auto& entry = m_entries.at(part);
        if (likeliest.size() > 1) {
            setContested(entry, true);
            continue;
        }
        ++entry.proofs;
        prove(part, entry);
    }
}

void quarantine_table::decideUntried(const request_fingerprint& part)
{
    const auto found = m_entries.find(part);
    if (found == m_entries.end())
        return;
    auto& entry = found->second;
    const bool isLikely = entry.evidence.total() >= m_options.untriedEvidence
        && entry.related.size() >= m_options.minRequestsOfUntriedPart;
    if (entry.stage != quarantine_stage::Held || !isLikely)
        return;
    const auto rivals = rivalsOf(part);
    if (rivals.empty()) {
        prove(part, entry);
        return;
    }
    setContested(entry, true);
    for (const auto& rival : rivals)
        setContested(m_entries.at(rival), true);
}

std::vector<request_fingerprint> quarantine_table::rivalsOf(const request_fingerprint& part) const
{
    const auto& own = m_entries.at(part);
    std::vector<request_fingerprint> rivals;
    for (const auto& [fingerprint, entry] : m_entries) {
        const bool isAsLikely = entry.evidence.total() + m_options.decisiveMargin > own.evidence.total();
        if (!entry.isPart || entry.stage != quarantine_stage::Held || fingerprint == part || !isAsLikely)
            continue;
        const auto& ended = entry.ended;
        const bool hasAll = std::all_of(own.ended.begin(), own.ended.end(),
            [&ended](const auto& target) { return std::find(ended.begin(), ended.end(), target) != ended.end(); });
        if (hasAll)
            rivals.push_back(fingerprint);
    }
    return rivals;
}

std::vector<request_fingerprint> quarantine_table::explanationsOf(const crash_report& report) const
{
    std::vector<request_fingerprint> explanations;
    const auto isExplanation = [this](const request_fingerprint& fingerprint) {
        const auto* entry = find(fingerprint);
        return entry != nullptr && entry->isPart && entry->stage == quarantine_stage::Proven && entry->proofs > 0;
    };
    for (std::size_t index = 0; index < report.begun.size(); ++index) {
        for (const auto& suspect : report.partsOf(index)) {
            if (isExplanation(suspect.part))
                explanations.push_back(suspect.part);
        }
    }
    if (!explanations.empty())
        return explanations;
    for (const auto& [fingerprint, entry] : m_entries) {
        const bool hasEnded = std::find(entry.ended.begin(), entry.ended.end(), report.target) != entry.ended.end();
        if (hasEnded && isExplanation(fingerprint))
            explanations.push_back(fingerprint);
    }
    return explanations;
}

void quarantine_table::explainCrashes(const request_fingerprint& proven)
{
    const auto explained = m_entries.at(proven).ended;
    std::vector<request_fingerprint> innocent;
    for (auto& [fingerprint, entry] : m_entries) {
        if (fingerprint == proven)
            continue;
        const auto& parts = entry.related;
        const bool hasPart = !entry.isPart && std::find(parts.begin(), parts.end(), proven) != parts.end();
        // A request with the part is rejected because of the part.
        if (hasPart || !forgiveCrashes(entry, explained))
            innocent.push_back(fingerprint);
    }
    for (const auto& fingerprint : innocent)
        remove(fingerprint);
}

bool quarantine_table::forgiveCrashes(quarantine_entry& entry, const std::vector<target_incarnation>& explained)
{
    std::uint32_t forgiven = 0;
    for (const auto& target : explained) {
        const auto found = std::find(entry.ended.begin(), entry.ended.end(), target);
        if (found == entry.ended.end())
            continue;
        const auto presence = entry.presences.begin() + (found - entry.ended.begin());
        entry.evidence.forgive(*presence);
        entry.presences.erase(presence);
        entry.ended.erase(found);
        ++forgiven;
    }
    if (forgiven == 0)
        return true;
    entry.crashes -= std::min(entry.crashes, forgiven);
    entry.revision = ++m_revision;
    if (entry.crashes == 0)
        return false;
    if (entry.stage == quarantine_stage::Proven && entry.crashes >= maxCrashes)
        return true;
    endTrial(entry);
    entry.proofs = 0;
    setContested(entry, false);
    const bool isHeld = entry.isPart ? isHeldPart(entry) : entry.crashes >= heldCrashes;
    setStage(entry, isHeld ? quarantine_stage::Held : quarantine_stage::Suspect);
    return true;
}

void quarantine_table::prove(const request_fingerprint& fingerprint, quarantine_entry& entry)
{
    if (m_provenCount >= m_options.maxProven)
        return;
    endTrial(entry);
    setContested(entry, false);
    setStage(entry, quarantine_stage::Proven);
    if (entry.proofs > 0)
        explainCrashes(fingerprint);
}

void quarantine_table::setContested(quarantine_entry& entry, bool isContested)
{
    if (entry.isContested == isContested)
        return;
    entry.isContested = isContested;
    entry.revision = ++m_revision;
    entry.stageRevision = m_revision;
    m_stageRevision = m_revision;
}

void quarantine_table::applyClearance(const request_fingerprint& fingerprint)
{
    const auto* cleared = find(fingerprint);
    if (cleared == nullptr)
        return;
    std::vector<request_fingerprint> left;
    for (const auto& [other, entry] : m_entries) {
        if (cleared->isContested && entry.isContested && other != fingerprint && entry.ended == cleared->ended)
            left.push_back(other);
    }
    remove(fingerprint);
    if (left.size() != 1)
        return;
    auto& last = m_entries.at(left.front()); // nothing else was at all of these crashes
    ++last.proofs;
    last.revision = ++m_revision;
    prove(left.front(), last);
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
    entry.trialMembers = claim.members;
    entry.revision = ++m_revision;
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
    if (entry->stage != quarantine_stage::Held)
        return trial_refusal::None;
    const bool isTaken = std::any_of(m_entries.begin(), m_entries.end(), [&claim](const auto& item) {
        const auto& other = item.second;
        const bool isTrial = other.stage == quarantine_stage::Held && other.trial != 0 && other.trial != claim.trial;
        return isTrial && other.trialTarget == claim.target;
    });
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
    entry.trial = 0;
    entry.trialTarget = {};
    entry.trialMembers.clear();
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
            delta.standings.push_back({ fingerprint, entry.stage, entry.isPart, entry.isContested });
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
    m_removed.clear();
    m_revision = revision;
    m_stageRevision = revision;
    m_prunedRevision = revision; // a snapshot doesn't list earlier removals
    m_provenCount = 0;
    for (const auto& [fingerprint, entry] : m_entries) {
        m_provenCount += entry.stage == quarantine_stage::Proven ? 1 : 0;
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

void quarantine_view::apply(const quarantine_delta& delta, steady_time now)
{
    const auto before = delta.full ? std::exchange(m_known, {}) : std::map<request_fingerprint, known_status>();
    for (const auto& status : delta.standings) {
        if (status.stage == quarantine_stage::None) {
            m_known.erase(status.fingerprint);
            continue;
        }
        const auto earlier = before.find(status.fingerprint);
        const auto since = earlier == before.end() ? now : earlier->second.knownSince;
        m_known.try_emplace(status.fingerprint, known_status { status, since }).first->second.status = status;
    }
    m_revision = delta.to;
}

const quarantine_view::known_status* quarantine_view::find(const request_fingerprint& fingerprint) const
{
    const auto found = m_known.find(fingerprint);
    return found == m_known.end() ? nullptr : &found->second;
}

quarantine_stage quarantine_view::stageOf(const request_fingerprint& fingerprint) const
{
    const auto* known = find(fingerprint);
    return known == nullptr ? quarantine_stage::None : known->status.stage;
}

} // namespace buckthornrail::registry
