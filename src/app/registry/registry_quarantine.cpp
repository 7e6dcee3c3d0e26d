/// @file
/// @brief Requests that end targets, at a registry: what gateways report goes into the log; terms end by the leader's
/// clock; operators list and clear.
#include "app/registry/registry.hpp"
#include "app/shared/control_answer.hpp"
#include "buckthornrail/link/state_json.hpp"

#include <algorithm>

namespace buckthornrail::app {
namespace {

constexpr std::string_view quarantinePath = "/quarantine";
constexpr std::string_view everyEntry = "all";
constexpr std::size_t mostLinesLogged = 50; ///< of one change: a lost failure domain makes suspects of hundreds

template <typename Item> void append(std::vector<Item>& all, const std::vector<Item>& more)
{
    all.insert(all.end(), more.begin(), more.end());
}

std::string stageName(registry::quarantine_stage stage)
{
    return std::string(nameIn(registry::quarantineStageNames, stage));
}

std::string namesOf(const std::vector<registry::target_incarnation>& targets)
{
    std::string names;
    for (const auto& target : targets)
        names += (names.empty() ? "" : ",") + text(target);
    return names;
}

} // namespace

void registry_role::takeQuarantine(link::channel_number channel, session& one, const link::gateway_beat& beat)
{
    for (const auto& batch : beat.quarantine) {
        if (batch.number <= one.quarantineBatch)
            continue;
        one.quarantineBatch = batch.number;
        auto& next = m_quarantineNext.change;
        append(next.crashes, batch.change.crashes);
        append(next.claims, batch.change.claims);
        append(next.ends, batch.change.ends);
        append(next.cleared, batch.change.cleared);
        m_quarantineNext.batches.push_back({ channel, batch.number, batch.change.claims });
    }
    submitQuarantine();
}

void registry_role::submitQuarantine()
{
    if (m_isQuarantineOpen || (m_quarantineNext.change.isEmpty() && m_quarantineNext.batches.empty()))
        return;
    m_isQuarantineOpen = true;
    auto gathered = std::exchange(m_quarantineNext, {});
    const std::string id = randomName();
    std::string bytes = encodeQuarantine(id, gathered.change);
    m_log->submit(
        id, std::move(bytes),
        [this, gathered = std::move(gathered)](bool committed) {
            m_isQuarantineOpen = false;
            onQuarantineSettled(gathered, committed);
            submitQuarantine();
        },
        callPatience);
}

void registry_role::onQuarantineSettled(const quarantine_gathering& gathered, bool committed)
{
    for (const auto& batch : gathered.batches) {
        const auto found = m_sessions.find(batch.channel);
        if (found == m_sessions.end())
            continue;
        if (!committed) {
            // The gateway sends it again; it may stand in the log by then, where the same change changes nothing.
            found->second.quarantineBatch = std::min(found->second.quarantineBatch, batch.number - 1);
            continue;
        }
        registry::quarantine_receipt receipt { batch.number, {} };
        for (const auto& claim : batch.claims) {
            const auto why = m_state.quarantine().refusalOf(claim);
            if (why != registry::trial_refusal::None)
                receipt.refused.push_back({ claim.trial, why });
        }
        sendUpdate(batch.channel, found->second, 0, { std::move(receipt) });
    }
}

void registry_role::endQuarantineTerms()
{
    const auto ended = m_quarantineClock.takeEnded(m_state.quarantine(), steadyNow());
    for (const auto& one : ended) {
        const auto& entry = *m_state.quarantine().find(one.fingerprint);
        telemetry::logEvent(event_code::QuarantineTermEnded,
            { { "fingerprint", text(one.fingerprint) }, { "stage", stageName(entry.stage) },
                { "trial", entry.trial == 0 ? "none" : text(entry.trialTarget) },
                { "term_ms", std::to_string(registry::timeoutOf(entry).count()) } });
    }
    append(m_quarantineNext.change.expired, ended);
    submitQuarantine();
}

void registry_role::logQuarantine()
{
    const auto& table = m_state.quarantine();
    if (m_quarantineLogged == table.stageRevision())
        return;
    std::size_t lines = 0;
    std::set<request_fingerprint> named;
    for (const auto& [fingerprint, entry] : table.entries()) {
        named.insert(fingerprint);
        if (entry.stageRevision <= m_quarantineLogged || ++lines > mostLinesLogged)
            continue;
        telemetry::logEvent(event_code::QuarantineChanged,
            { { "fingerprint", text(fingerprint) }, { "stage", stageName(entry.stage) },
                { "crashes", std::to_string(entry.crashes) }, { "proofs", std::to_string(entry.proofs) },
                { "ended", namesOf(entry.ended) }, { "revision", std::to_string(entry.stageRevision) } },
            entry.stage == registry::quarantine_stage::Proven ? telemetry::severity::Warning
                                                              : telemetry::severity::Info);
    }
    for (const auto& fingerprint : m_quarantineNamed) {
        if (named.contains(fingerprint) || ++lines > mostLinesLogged)
            continue;
        telemetry::logEvent(event_code::QuarantineChanged,
            { { "fingerprint", text(fingerprint) }, { "stage", stageName(registry::quarantine_stage::None) },
                { "revision", std::to_string(table.stageRevision()) } });
    }
    m_quarantineNamed = std::move(named);
    m_quarantineLogged = table.stageRevision();
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
        rows.push_back({ { "fingerprint", text(fingerprint) }, { "stage", stageName(entry.stage) },
            { "crashes", entry.crashes }, { "proofs", entry.proofs }, { "ended", namesOf(entry.ended) },
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
    if (name == everyEntry) {
        for (const auto& [fingerprint, entry] : m_state.quarantine().entries())
            change.cleared.push_back(fingerprint);
    } else if (const auto fingerprint = readFingerprint(name)) {
        if (m_state.quarantine().find(*fingerprint) == nullptr) {
            refuse(notFound, "nothing is held against that request");
            return;
        }
        change.cleared.push_back(*fingerprint);
    } else {
        refuse(badRequest, "a fingerprint has 32 hexadecimal digits");
        return;
    }
    const std::string id = randomName();
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
        callPatience);
}

} // namespace buckthornrail::app
