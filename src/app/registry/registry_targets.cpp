/// @file
/// @brief Announcements of targets: detects new, late and invalid ones.
#include "app/registry/registry.hpp"
#include "app/shared/control_response.hpp"
#include "app/shared/preferred_address.hpp"

#include <algorithm>

namespace buckthornrail::app {

std::string registry_role::nextHeartbeatAddress(const registry::target_record& record) const
{
    const auto localAddresses
        = addressesIn(m_endpoints, record.failureDomain, &link::controller_endpoint::controlAddress);
    return localAddresses.empty() ? m_settings.httpAddress : preferredAddress(record.id, localAddresses);
}

void registry_role::onAnnounce(const registry::target_record& record, const net::responder& respond)
{
    if (!m_watch.onAnnouncement(record.id, registry::orderOf(record))) {
        // If the announcement were acknowledged without reaching the leader, the target's lease would expire.
        respond(errorResponse(503, "this controller can't reach a leader"));
        return;
    }
    const auto acknowledge = [this, record, respond] {
        respond(net::plainResponse(200, m_dialect.writeAnnounceResponse(nextHeartbeatAddress(record))));
    };
    const auto* known = m_state.targets().find(record.id);
    // A target of an unknown service must not take over the address of a target in use, whatever state it announces.
    const bool isNewIncarnation = known == nullptr || record.startedMs > known->startedMs;
    if (isNewIncarnation && record.state != registry::target_state::Gone && !isKnownService(record.service)) {
        logRefusedRecord(
            "announcement of " + text(record.incarnation()), "service: not defined in the active document");
        acknowledge();
        return;
    }
    const bool isLeaving
        = record.state == registry::target_state::Draining || record.state == registry::target_state::Gone;
    if (!isLeaving) {
        processAnnouncement(record);
        acknowledge();
        return;
    }
    const bool isSameIncarnation = known != nullptr && (record.startedMs == 0 || record.startedMs == known->startedMs);
    const bool isEarlier = known != nullptr && record.startedMs != 0 && record.startedMs < known->startedMs;
    const bool isKnownLeaving
        = isSameIncarnation && (known->state == registry::target_state::Gone || known->state == record.state);
    if (isKnownLeaving || isEarlier) {
        acknowledge();
        return;
    }
    // Acknowledged only once committed, so that a new leader also sends no work to the target.
    submitTargets({ record }, [record, acknowledge, respond](bool committed) {
        logCall("announce", committed ? 200 : 503,
            text(record.incarnation()) + " " + std::string(nameIn(registry::targetStateNames, record.state)));
        if (committed)
            acknowledge();
        else
            respond(errorResponse(503, "no quorum committed the announcement in time"));
    });
}

void registry_role::logRefusedRecord(const std::string& what, const std::string& reason)
{
    constexpr milliseconds logPeriod { 200 }; // a faulty client may send thousands of records per second
    constexpr std::size_t maxCallLength = 200;
    const std::string field = reason.substr(0, reason.find(':'));
    m_metrics.count("records_refused", field == reason ? "whole" : field);
    const auto now = steadyNow();
    if (now < m_nextRefusalLogAt) {
        ++m_unloggedRefusals;
        return;
    }
    m_nextRefusalLogAt = now + logPeriod;
    telemetry::logEvent(event_code::RecordRefused,
        { { "call", what.substr(0, maxCallLength) }, { "reason", reason },
            { "unlogged", std::to_string(std::exchange(m_unloggedRefusals, 0)) } },
        telemetry::severity::Warning);
}

bool registry_role::isKnownService(const std::string& service)
{
    const auto& named = services();
    return m_feed.version() == 0 || std::any_of(named.begin(), named.end(), [&service](const auto& candidate) {
        return candidate.name == service;
    });
}

void registry_role::processAnnouncement(const registry::target_record& record)
{
    const auto* known = m_state.targets().find(record.id);
    if (known == nullptr || record.startedMs > known->startedMs) {
        submitOnce(record);
        return;
    }
    if (record.startedMs < known->startedMs) {
        // Either late, or from a target whose clock was set back. The target is probed if the known incarnation is
        // gone or lost.
        if (registry::isGoneOrLost(*known))
            m_watch.verifyEarlierStart(record, [this](const registry::target_record& alive) { submitOnce(alive); });
        return;
    }
    auto announced = record;
    if (known->state == registry::target_state::Draining)
        announced.state = known->state; // it has announced that it leaves, whatever it announces now
    if (registry::differsFrom(*known, announced) && registry::orderOf(record) >= registry::orderOf(*known))
        submitOnce(record);
}

void registry_role::markDraining(const std::vector<registry::target_incarnation>& targets)
{
    for (const auto& target : targets) {
        const auto* known = m_state.targets().find(target.id);
        const bool canDrain = known != nullptr && known->incarnation() == target
            && (known->state == registry::target_state::Ready || known->state == registry::target_state::Lost);
        if (!canDrain || m_announcementsInFlight.contains(target))
            continue;
        registry::target_record leaving = *known;
        leaving.state = registry::target_state::Draining;
        submitOnce(leaving);
    }
}

void registry_role::submitOnce(const registry::target_record& record)
{
    if (m_announcementsInFlight.insert(record.incarnation()).second)
        submitTargets(
            { record }, [this, target = record.incarnation()](bool) { m_announcementsInFlight.erase(target); });
}

void registry_role::submitTargets(const std::vector<registry::target_record>& records, std::function<void(bool)> done)
{
    const std::string id = randomId();
    m_log->submit(id, encodeTargets(id, records), std::move(done), controlCallTimeout);
}

} // namespace buckthornrail::app
