/// @file
/// @brief Quarantine of requests that crash targets: gateways' reports are committed to the log, entries expire
/// by the leader's clock, and operators list and clear them.
#include "app/registry/registry.hpp"
#include "app/shared/control_response.hpp"
#include "buckthornrail/link/state_json.hpp"

#include <algorithm>

namespace buckthornrail::app {
namespace {

constexpr std::string_view quarantinePath = "/quarantine";
constexpr std::string_view allEntries = "all";
/// Lines per change: the loss of a failure domain makes hundreds of requests suspects.
constexpr std::size_t maxLinesLogged = 50;

template <typename Item> void append(std::vector<Item>& all, const std::vector<Item>& more)
{
    all.insert(all.end(), more.begin(), more.end());
}

std::string stageName(registry::quarantine_stage stage)
{
    return std::string(nameIn(registry::quarantineStageNames, stage));
}

std::string subjectOf(const registry::quarantine_entry& entry) { return entry.isPart ? "part" : "request"; }

std::string namesOf(const std::vector<registry::target_incarnation>& targets)
{
    std::string names;
    for (const auto& target : targets)
        names += (names.empty() ? "" : ",") + text(target);
    return names;
}

} // namespace

void registry_role::queueQuarantineChanges(
    link::link_number linkNumber, session& gatewaySession, const link::gateway_heartbeat& heartbeat)
{
    for (const auto& batch : heartbeat.quarantine) {
        if (batch.number <= gatewaySession.quarantineBatch)
            continue;
        gatewaySession.quarantineBatch = batch.number;
        auto& next = m_pendingQuarantine.change;
        append(next.crashes, batch.change.crashes);
        append(next.claims, batch.change.claims);
        append(next.ends, batch.change.ends);
        append(next.cleared, batch.change.cleared);
        m_pendingQuarantine.batches.push_back({ linkNumber, batch.number, batch.change.claims });
    }
    submitQuarantine();
}

void registry_role::submitQuarantine()
{
    if (m_isQuarantineInFlight || (m_pendingQuarantine.change.isEmpty() && m_pendingQuarantine.batches.empty()))
        return;
    m_isQuarantineInFlight = true;
    auto submission = std::exchange(m_pendingQuarantine, {});
    const std::string id = randomId();
    std::string bytes = encodeQuarantine(id, submission.change);
    m_log->submit(
        id, std::move(bytes),
        [this, submission = std::move(submission)](bool committed) {
            m_isQuarantineInFlight = false;
            onQuarantineResult(submission, committed);
            submitQuarantine();
        },
        controlCallTimeout);
}

void registry_role::onQuarantineResult(const quarantine_submission& submission, bool committed)
{
    for (const auto& batch : submission.batches) {
        const auto found = m_sessions.find(batch.linkNumber);
        if (found == m_sessions.end())
            continue;
        if (!committed) {
            // The gateway sends the batch again. If it has been committed by then, applying it twice changes nothing.
            found->second.quarantineBatch = std::min(found->second.quarantineBatch, batch.number - 1);
            continue;
        }
        registry::quarantine_receipt receipt { batch.number, {} };
        for (const auto& claim : batch.claims) {
            const auto why = m_state.quarantine().refusalOf(claim);
            if (why != registry::trial_refusal::None)
                receipt.refused.push_back({ claim.trial, why });
        }
        sendUpdate(batch.linkNumber, found->second, 0, { std::move(receipt) });
    }
}

void registry_role::expireQuarantineEntries()
{
    const auto ended = m_quarantineTimers.takeExpired(m_state.quarantine(), steadyNow());
    for (const auto& expiry : ended) {
        const auto& entry = *m_state.quarantine().find(expiry.fingerprint);
        telemetry::logEvent(event_code::QuarantineTermEnded,
            { { "fingerprint", text(expiry.fingerprint) }, { "stage", stageName(entry.stage) },
                { "trial", entry.trial == 0 ? "none" : text(entry.trialTarget) },
                { "term_ms", std::to_string(registry::timeoutOf(entry).count()) } });
    }
    append(m_pendingQuarantine.change.expired, ended);
    submitQuarantine();
}

void registry_role::logQuarantine()
{
    const auto& table = m_state.quarantine();
    if (m_loggedStageRevision == table.stageRevision())
        return;
    std::size_t lines = 0;
    std::set<request_fingerprint> named;
    for (const auto& [fingerprint, entry] : table.entries()) {
        named.insert(fingerprint);
        if (entry.stageRevision <= m_loggedStageRevision || ++lines > maxLinesLogged)
            continue;
        telemetry::logEvent(event_code::QuarantineChanged,
            { { "fingerprint", text(fingerprint) }, { "subject", subjectOf(entry) },
                { "stage", stageName(entry.stage) }, { "contested", entry.isContested ? "yes" : "no" },
                { "crashes", std::to_string(entry.crashes) }, { "proofs", std::to_string(entry.proofs) },
                { "ended", namesOf(entry.ended) }, { "revision", std::to_string(entry.stageRevision) } },
            entry.stage == registry::quarantine_stage::Proven ? telemetry::severity::Warning
                                                              : telemetry::severity::Info);
    }
    for (const auto& fingerprint : m_loggedFingerprints) {
        if (named.contains(fingerprint) || ++lines > maxLinesLogged)
            continue;
        telemetry::logEvent(event_code::QuarantineChanged,
            { { "fingerprint", text(fingerprint) }, { "stage", stageName(registry::quarantine_stage::None) },
                { "revision", std::to_string(table.stageRevision()) } });
    }
    m_loggedFingerprints = std::move(named);
    m_loggedStageRevision = table.stageRevision();
    std::map<registry::quarantine_stage, std::size_t> counts;
    for (const auto& [fingerprint, entry] : table.entries())
        ++counts[entry.stage];
    m_metrics.gauge("requests_suspect", static_cast<double>(counts[registry::quarantine_stage::Suspect]));
    m_metrics.gauge("requests_held", static_cast<double>(counts[registry::quarantine_stage::Held]));
    m_metrics.gauge("requests_proven", static_cast<double>(counts[registry::quarantine_stage::Proven]));
}

std::string registry_role::quarantinePage() const
{
    nlohmann::json rows = nlohmann::json::array();
    for (const auto& [fingerprint, entry] : m_state.quarantine().entries()) {
        rows.push_back({ { "fingerprint", text(fingerprint) }, { "subject", subjectOf(entry) },
            { "stage", stageName(entry.stage) }, { "contested", entry.isContested }, { "crashes", entry.crashes },
            { "proofs", entry.proofs }, { "ended", namesOf(entry.ended) },
            { "on_trial_at", entry.trial == 0 ? "" : text(entry.trialTarget) } });
    }
    return nlohmann::json { { "requests", rows } }.dump();
}

void registry_role::onQuarantineCall(const net::whole_request& request, const net::responder& respond)
{
    constexpr int badRequest = 400;
    constexpr int notFound = 404;
    constexpr int notAllowed = 405;
    const std::string what = request.head.method + " " + request.head.target.substr(0, 80);
    const auto refuse = [&](int status, const std::string& reason) {
        logCall(what, status, reason);
        respond(errorResponse(status, reason));
    };
    std::string_view name = request.head.target;
    name.remove_prefix(quarantinePath.size());
    if (request.head.method == "GET" && name.empty()) {
        respond(net::plainResponse(200, quarantinePage()));
        return;
    }
    if (request.head.method != "DELETE" || !name.starts_with('/')) {
        refuse(notAllowed, "GET /quarantine lists, DELETE /quarantine/FINGERPRINT or /quarantine/all clears");
        return;
    }
    name.remove_prefix(1);
    registry::quarantine_change change;
    if (name == allEntries) {
        for (const auto& [fingerprint, entry] : m_state.quarantine().entries())
            change.cleared.push_back(fingerprint);
    } else if (const auto fingerprint = parseFingerprint(name)) {
        if (m_state.quarantine().find(*fingerprint) == nullptr) {
            refuse(notFound, "no quarantine entry has this fingerprint");
            return;
        }
        change.cleared.push_back(*fingerprint);
    } else {
        refuse(badRequest, "a fingerprint has 32 hexadecimal digits");
        return;
    }
    const std::string id = randomId();
    m_log->submit(
        id, encodeQuarantine(id, change),
        [what, respond, count = change.cleared.size()](bool committed) {
            if (!committed) {
                logCall(what, 503, "not committed in time");
                respond(errorResponse(503, "no quorum committed the change in time"));
                return;
            }
            logCall(what, 200, std::to_string(count) + " cleared");
            respond(net::plainResponse(200, "{\"cleared\":" + std::to_string(count) + "}"));
        },
        controlCallTimeout);
}

} // namespace buckthornrail::app
