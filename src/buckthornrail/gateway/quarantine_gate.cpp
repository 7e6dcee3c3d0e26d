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

dispatch_verdict quarantine_gate::requestDispatch(call_number call, const request_fingerprint& fingerprint,
    const registry::target_incarnation& target, steady_time now)
{
    const auto stage = stageOf(fingerprint);
    if (stage == quarantine_stage::None)
        return dispatch_verdict::Go;
    if (stage == quarantine_stage::Proven)
        return dispatch_verdict::Refuse;
    const auto found = m_trials.find(call);
    if (found == m_trials.end())
        return claim(call, fingerprint, target, now);
    auto& trial = found->second;
    const bool isSameTarget = trial.claim.target == target || stage == quarantine_stage::Suspect;
    if (trial.stage != stage || !isSameTarget) {
        endTrial(call);
        return claim(call, fingerprint, target, now);
    }
    return trialVerdict(call, trial, now);
}

dispatch_verdict quarantine_gate::trialVerdict(call_number call, local_trial& trial, steady_time now)
{
    if (trial.state == claim_state::Granted) {
        trial.hasStarted = now >= trial.startsAt;
        return trial.hasStarted ? dispatch_verdict::Go : dispatch_verdict::Wait;
    }
    if (trial.state == claim_state::Pending) {
        trial.hasStarted = trial.stage == quarantine_stage::Suspect && now >= trial.decideBy;
        return trial.hasStarted ? dispatch_verdict::Go : dispatch_verdict::Wait;
    }
    if (trial.why == trial_refusal::Unknown)
        return dispatch_verdict::Go;
    if (trial.why == trial_refusal::TargetTaken) {
        m_trials.erase(call);
        return dispatch_verdict::Elsewhere;
    }
    if (now < trial.decideBy)
        return dispatch_verdict::Wait;
    const auto again = trial;
    m_trials.erase(call);
    return claim(call, again.fingerprint, again.claim.target, now);
}

dispatch_verdict quarantine_gate::claim(call_number call, const request_fingerprint& fingerprint,
    const registry::target_incarnation& target, steady_time now)
{
    const registry::trial_number number = std::max<std::uint64_t>(m_random(), 1);
    const registry::trial_claim newClaim { fingerprint, number, target };
    m_unsentChanges.claims.push_back(newClaim);
    local_trial trial;
    trial.fingerprint = fingerprint;
    trial.claim = newClaim;
    trial.stage = stageOf(fingerprint);
    trial.decideBy = now + m_options.grantTimeout;
    m_trials[call] = trial;
    return dispatch_verdict::Wait;
}

bool quarantine_gate::mustCancel(call_number call, const request_fingerprint& fingerprint) const
{
    const auto stage = stageOf(fingerprint);
    if (stage == quarantine_stage::None)
        return false;
    const auto found = m_trials.find(call);
    const bool isOnTrial
        = found != m_trials.end() && found->second.state != claim_state::Refused && found->second.stage == stage;
    return !isOnTrial;
}

void quarantine_gate::endTrial(call_number call)
{
    const auto ended = m_trials.extract(call);
    if (!ended || ended.mapped().state == claim_state::Refused)
        return;
    const auto trial = ended.mapped().claim.trial;
    const bool wasUnsent
        = std::erase_if(m_unsentChanges.claims, [trial](const auto& pending) { return pending.trial == trial; }) > 0;
    if (!wasUnsent)
        m_unsentChanges.ends.push_back({ ended.mapped().fingerprint, trial });
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
        const auto isOwn = [&trial](const auto& entry) { return entry.trial == trial.claim.trial; };
        if (trial.state != claim_state::Pending || std::none_of(claims.begin(), claims.end(), isOwn))
            continue;
        const auto refusal = std::find_if(receipt.refused.begin(), receipt.refused.end(), isOwn);
        trial.startsAt = now + m_options.trialStartDelay;
        trial.state = refusal == receipt.refused.end() ? claim_state::Granted : claim_state::Refused;
        if (refusal != receipt.refused.end())
            trial.why = refusal->why;
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
