/// @file
/// @brief Trials of suspects and the batches that report them to the controllers.
#include "buckthornrail/gateway/quarantine_gate.hpp"

#include <algorithm>
#include <utility>

namespace buckthornrail::gateway {

using registry::quarantine_stage;
using registry::trial_refusal;

quarantine_stage quarantine_gate::stageOf(const request_fingerprint& fingerprint) const
{
    const auto confirmed = m_view.stageOf(fingerprint);
    const auto reported = m_reported.find(fingerprint);
    if (reported == m_reported.end() || reported->second.unconfirmed == 0 || confirmed == quarantine_stage::Proven)
        return confirmed;
    // Crashes seen by this gateway count before the controllers confirm them.
    return std::max(confirmed, reported->second.expected);
}

quarantine_stage quarantine_gate::stageOfPart(const request_fingerprint& part) const
{
    const auto stage = m_view.stageOf(part);
    return stage == quarantine_stage::Suspect ? quarantine_stage::None : stage;
}

quarantine_stage quarantine_gate::stageOf(const request_fingerprints& request) const
{
    auto stage = stageOf(request.whole);
    std::size_t contested = 0;
    for (const auto& part : request.parts) {
        stage = std::max(stage, stageOfPart(part));
        const auto* known = m_view.find(part);
        contested += known != nullptr && known->status.isContested ? 1 : 0;
    }
    // Requests with all of these parts have crashed targets, whichever of them is to blame.
    return contested > 1 ? quarantine_stage::Proven : stage;
}

std::vector<request_fingerprint> quarantine_gate::blamedIn(const request_fingerprints& request) const
{
    std::vector<request_fingerprint> blamed;
    if (stageOf(request.whole) != quarantine_stage::None)
        blamed.push_back(request.whole);
    for (const auto& part : request.parts) {
        if (stageOfPart(part) != quarantine_stage::None)
            blamed.push_back(part);
    }
    return blamed;
}

dispatch_verdict quarantine_gate::requestDispatch(call_number call, const request_fingerprints& request,
    const std::vector<registry::target_incarnation>& path, steady_time now)
{
    const auto stage = stageOf(request);
    if (stage == quarantine_stage::None)
        return dispatch_verdict::Go;
    if (stage == quarantine_stage::Proven)
        return dispatch_verdict::Refuse;
    const auto found = m_trials.find(call);
    if (found == m_trials.end())
        return claim(call, request, path, now);
    auto& trial = found->second;
    const bool isSameTarget = trial.target == path.front() || stage == quarantine_stage::Suspect;
    if (!isSameTarget || !isCovered(trial, request)) {
        endTrial(call);
        return claim(call, request, path, now);
    }
    const auto verdict = trialVerdict(call, trial, now);
    return verdict ? *verdict : claim(call, request, path, now);
}

bool quarantine_gate::isCovered(const local_trial& trial, const request_fingerprints& request) const
{
    const auto& claimed = trial.fingerprints;
    const auto blamed = blamedIn(request);
    return stageOf(request) <= trial.stage && std::all_of(blamed.begin(), blamed.end(), [&claimed](const auto& each) {
        return std::find(claimed.begin(), claimed.end(), each) != claimed.end();
    });
}

std::optional<dispatch_verdict> quarantine_gate::trialVerdict(call_number call, local_trial& trial, steady_time now)
{
    if (trial.state == claim_state::Granted) {
        trial.hasStarted = now >= trial.startsAt;
        return trial.hasStarted ? dispatch_verdict::Go : dispatch_verdict::Wait;
    }
    if (trial.state == claim_state::Pending) {
        trial.hasStarted = trial.stage == quarantine_stage::Suspect && now >= trial.decideBy;
        return trial.hasStarted ? dispatch_verdict::Go : dispatch_verdict::Wait;
    }
    if (trial.why == trial_refusal::Unknown && trial.fingerprints.size() == 1)
        return dispatch_verdict::Go;
    if (trial.why == trial_refusal::TargetTaken) {
        m_trials.erase(call);
        return dispatch_verdict::Elsewhere;
    }
    if (now < trial.decideBy)
        return dispatch_verdict::Wait;
    m_trials.erase(call);
    return std::nullopt;
}

dispatch_verdict quarantine_gate::claim(call_number call, const request_fingerprints& request,
    const std::vector<registry::target_incarnation>& path, steady_time now)
{
    local_trial trial;
    trial.fingerprints = blamedIn(request);
    trial.number = std::max<std::uint64_t>(m_random(), 1);
    trial.target = path.front();
    trial.stage = stageOf(request);
    trial.decideBy = now + m_options.grantTimeout;
    for (const auto& fingerprint : trial.fingerprints)
        m_unsentChanges.claims.push_back({ fingerprint, trial.number, path.front(), { path.begin() + 1, path.end() } });
    m_trials[call] = std::move(trial);
    return dispatch_verdict::Wait;
}

bool quarantine_gate::mustCancel(call_number call, const request_fingerprints& request) const
{
    if (stageOf(request) == quarantine_stage::None)
        return false;
    const auto found = m_trials.find(call);
    const bool isOnTrial
        = found != m_trials.end() && found->second.state != claim_state::Refused && isCovered(found->second, request);
    return !isOnTrial;
}

void quarantine_gate::endTrial(call_number call)
{
    const auto ended = m_trials.extract(call);
    if (ended && ended.mapped().state != claim_state::Refused)
        withdrawClaims(ended.mapped());
}

void quarantine_gate::withdrawClaims(const local_trial& trial)
{
    const auto isOwn = [&trial](const auto& pending) { return pending.trial == trial.number; };
    if (std::erase_if(m_unsentChanges.claims, isOwn) > 0)
        return; // never sent
    for (const auto& fingerprint : trial.fingerprints)
        m_unsentChanges.ends.push_back({ fingerprint, trial.number });
}

std::vector<call_number> quarantine_gate::callsOnTrial() const
{
    std::vector<call_number> calls;
    for (const auto& [call, trial] : m_trials) {
        if (trial.hasStarted)
            calls.push_back(call);
    }
    return calls;
}

void quarantine_gate::reportCrash(const registry::crash_report& report, steady_time now)
{
    if (report.begun.empty())
        return;
    for (const auto& fingerprint : report.begun) {
        const auto before = stageOf(fingerprint);
        auto& local = m_reported[fingerprint];
        ++local.unconfirmed;
        // Only the controllers decide that a request is proven to crash targets.
        local.expected = before == quarantine_stage::None ? quarantine_stage::Suspect : quarantine_stage::Held;
        local.expiresAt = now + m_options.reportedTtl;
        m_reportExpiries.emplace_back(local.expiresAt, fingerprint);
    }
    m_unsentChanges.crashes.push_back(report);
    dropExpiredReports(now);
}

void quarantine_gate::dropExpiredReports(steady_time now)
{
    while (!m_reportExpiries.empty()
        && (now >= m_reportExpiries.front().first || m_reportExpiries.size() > m_options.maxReported)) {
        const auto [due, fingerprint] = m_reportExpiries.front();
        m_reportExpiries.pop_front();
        const auto found = m_reported.find(fingerprint);
        if (found != m_reported.end() && found->second.expiresAt <= due)
            m_reported.erase(found);
    }
}

bool quarantine_gate::reportCompleted(const request_fingerprint& fingerprint)
{
    const bool isReported = m_reported.erase(fingerprint) > 0;
    const bool isHeld = isReported || m_view.stageOf(fingerprint) != quarantine_stage::None;
    if (isHeld)
        m_unsentChanges.cleared.push_back(fingerprint);
    return isHeld;
}

std::vector<request_fingerprint> quarantine_gate::reportSurvived(
    const std::vector<request_fingerprint>& parts, steady_time begunAt)
{
    std::vector<request_fingerprint> cleared;
    for (const auto& part : parts) {
        const auto* known = m_view.find(part);
        // A response that began before the first crash tells nothing: the part may have crashed targets since.
        if (known == nullptr || begunAt < known->knownSince)
            continue;
        cleared.push_back(part);
        m_unsentChanges.cleared.push_back(part);
    }
    return cleared;
}

void quarantine_gate::onReceipt(const registry::quarantine_receipt& receipt, steady_time now)
{
    const auto found = std::find_if(
        m_sent.begin(), m_sent.end(), [&receipt](const auto& sent) { return sent.batch.number == receipt.number; });
    if (found == m_sent.end())
        return;
    for (const auto& report : found->batch.change.crashes) {
        for (const auto& fingerprint : report.begun) {
            const auto reported = m_reported.find(fingerprint);
            if (reported != m_reported.end() && reported->second.unconfirmed > 0)
                --reported->second.unconfirmed; // the view includes it now
        }
    }
    const auto& claims = found->batch.change.claims;
    for (auto& item : m_trials) {
        auto& trial = item.second;
        const auto isOwn = [&trial](const auto& entry) { return entry.trial == trial.number; };
        if (trial.state != claim_state::Pending || std::none_of(claims.begin(), claims.end(), isOwn))
            continue;
        const auto refusal = std::find_if(receipt.refused.begin(), receipt.refused.end(), isOwn);
        trial.startsAt = now + m_options.trialStartDelay;
        trial.state = refusal == receipt.refused.end() ? claim_state::Granted : claim_state::Refused;
        if (refusal == receipt.refused.end())
            continue;
        trial.why = refusal->why;
        if (trial.fingerprints.size() > 1)
            withdrawClaims(trial); // others may be granted
    }
    m_sent.erase(found);
}

std::vector<registry::quarantine_batch> quarantine_gate::takeBatches(bool all, steady_time now)
{
    dropExpiredReports(now);
    if (hasUnsentChanges()) {
        m_sent.push_back({ { ++m_lastBatchNumber, std::exchange(m_unsentChanges, {}) }, {} });
        if (m_sent.size() > m_options.maxUnconfirmedBatches)
            m_sent.pop_front();
    }
    std::vector<registry::quarantine_batch> batches;
    for (auto& sent : m_sent) {
        if (!all && now < sent.resendAt)
            continue;
        sent.resendAt = now + m_options.resendAfter;
        batches.push_back(sent.batch);
    }
    return batches;
}

} // namespace buckthornrail::gateway
