/// @file
/// @brief Quarantine of requests that crash targets: whether a call may be dispatched, and clearing it of suspicion.
#include "app/gateway/gateway_call.hpp"

#include "buckthornrail/gateway/fingerprint_request.hpp"

#include <algorithm>

namespace buckthornrail::app {

gateway::dispatch_verdict gateway_call::requestDispatch(const gateway::selection& selected)
{
    const auto now = steadyNow();
    if (m_context.crashes.awaitsTargetState(m_number, now))
        return gateway::dispatch_verdict::Wait;
    if (m_context.quarantine.isEmpty())
        return gateway::dispatch_verdict::Go;
    std::vector<registry::target_incarnation> path;
    for (const auto& part : selected.parts)
        path.push_back(part.target);
    const auto verdict = m_context.quarantine.requestDispatch(m_number, fingerprints(), path, now);
    logVerdict(verdict, selected);
    if (m_context.quarantine.hasUnsentChanges())
        m_context.requestHeartbeat();
    return verdict;
}

void gateway_call::logVerdict(gateway::dispatch_verdict verdict, const gateway::selection& selected)
{
    if (std::exchange(m_verdict, verdict) == verdict)
        return;
    const auto stage = m_context.quarantine.stageOf(fingerprints());
    telemetry::logEvent(event_code::TrialDecided,
        { { "request", m_caller.requestId }, { "fingerprint", text(fingerprint()) }, { "blamed", namesOfBlamed() },
            { "workspace", m_workspace }, { "path", m_head.target }, { "target", text(selected.parts.front().target) },
            { "stage", std::string(nameIn(registry::quarantineStageNames, stage)) },
            { "outcome", std::string(nameIn(gateway::dispatchVerdictNames, verdict)) },
            { "revision", std::to_string(m_context.quarantine.revision()) } });
}

bool gateway_call::mustCancel()
{
    return !m_context.quarantine.isEmpty() && m_context.quarantine.mustCancel(m_number, fingerprints());
}

void gateway_call::quarantineChanged()
{
    if (m_exchange && m_sink != nullptr)
        m_exchange->onQuarantineChanged(steadyNow());
}

void gateway_call::recordSurvival(bool isComplete)
{
    const auto begunAt = m_context.crashes.takeSurvival(m_number, isComplete, steadyNow());
    if (!begunAt || m_context.quarantine.isEmpty())
        return;
    for (const auto& part : m_context.quarantine.reportSurvived(partFingerprints(), *begunAt)) {
        telemetry::logEvent(event_code::RequestCleared,
            { { "request", m_caller.requestId }, { "fingerprint", text(part) }, { "part", idOfPart(part) } });
        m_context.requestHeartbeat();
    }
}

void gateway_call::recordCompleted()
{
    if (m_context.quarantine.isEmpty())
        return;
    const auto stage = m_context.quarantine.stageOf(fingerprint());
    if (!m_context.quarantine.reportCompleted(fingerprint()))
        return;
    telemetry::logEvent(event_code::RequestCleared,
        { { "request", m_caller.requestId }, { "fingerprint", text(fingerprint()) },
            { "stage", std::string(nameIn(registry::quarantineStageNames, stage)) } });
    m_context.requestHeartbeat();
}

request_fingerprint gateway_call::fingerprint()
{
    if (!m_fingerprint)
        m_fingerprint = gateway::fingerprintOf({ m_head.method,
            http1::valueOf(m_head.fields, "Host").value_or(std::string_view()), m_head.target, m_workspace, m_body });
    return *m_fingerprint;
}

const std::vector<request_fingerprint>& gateway_call::partFingerprints()
{
    const auto& parts = m_caller.sharedParts;
    if (m_partFingerprints.size() == parts.size() || !m_exchange)
        return m_partFingerprints;
    for (const auto& part : parts)
        m_partFingerprints.push_back(gateway::fingerprintOfPart(m_exchange->request().service, part));
    return m_partFingerprints;
}

request_fingerprints gateway_call::fingerprints() { return { fingerprint(), partFingerprints() }; }

std::string gateway_call::idOfPart(const request_fingerprint& part)
{
    const auto& fingerprints = partFingerprints();
    const auto found = std::find(fingerprints.begin(), fingerprints.end(), part);
    if (found == fingerprints.end())
        return {};
    return m_caller.sharedParts[static_cast<std::size_t>(found - fingerprints.begin())];
}

std::string gateway_call::namesOfBlamed()
{
    std::string names;
    for (const auto& blamed : m_context.quarantine.blamedIn(fingerprints())) {
        const std::string part = idOfPart(blamed);
        names += (names.empty() ? "" : ",") + (part.empty() ? "request" : "part:" + part + "=" + text(blamed));
    }
    return names;
}

} // namespace buckthornrail::app
