/// @file
/// @brief Announcements of targets at a registry: which are news, which are late, which name no target to use.
#include "app/registry/registry.hpp"
#include "app/shared/control_answer.hpp"
#include "app/shared/preferred_address.hpp"

#include <algorithm>

namespace buckthornrail::app {

std::string registry_role::nextHeartbeatAddress(const registry::target_record& record) const
{
    const auto near = addressesIn(m_places, record.failureDomain, &link::controller_place::controlAddress);
    return near.empty() ? m_settings.httpAddress : preferredAddress(record.id, near);
}

void registry_role::onAnnounce(const registry::target_record& record, const net::responder& respond)
{
    if (!m_watch.heard(record.id, registry::orderOf(record))) {
        // Acknowledged here and not told to a leader, the target would pass for lost.
        respond(errorResponse(503, "no leader is known here"));
        return;
    }
    const auto answer = [this, record, respond] {
        respond(net::plainResponse(200, m_dialect.writeAnnounceResponse(nextHeartbeatAddress(record))));
    };
    const auto* known = m_state.targets().find(record.id);
    // A target that nobody can ask for must not take an address from one that is in use, whatever state it names.
    const bool isNews = known == nullptr || record.startedMs > known->startedMs;
    if (isNews && record.state != registry::target_state::Gone && !isServiceNamed(record.service)) {
        noteRefused("announcement of " + text(record.incarnation()), "service: the document in force has no such one");
        answer();
        return;
    }
    const bool isLeaving
        = record.state == registry::target_state::Draining || record.state == registry::target_state::Gone;
    if (!isLeaving) {
        takeAnnouncement(record);
        answer();
        return;
    }
    const bool isSameLife = known != nullptr && (record.startedMs == 0 || record.startedMs == known->startedMs);
    const bool isEarlier = known != nullptr && record.startedMs != 0 && record.startedMs < known->startedMs;
    const bool isKnownLeaving
        = isSameLife && (known->state == registry::target_state::Gone || known->state == record.state);
    if (isKnownLeaving || isEarlier) {
        answer();
        return;
    }
    // Acknowledged only once it stands in the log: whoever leads next keeps work away from it as well.
    submitTargets({ record }, [record, answer, respond](bool committed) {
        logCall("announce", committed ? 200 : 503,
            text(record.incarnation()) + " " + std::string(nameIn(registry::targetStateNames, record.state)));
        if (committed)
            answer();
        else
            respond(errorResponse(503, "no quorum committed the announcement in time"));
    });
}

void registry_role::noteRefused(const std::string& what, const std::string& reason)
{
    constexpr milliseconds linePeriod { 200 }; // a broken writer may send thousands a second
    constexpr std::size_t longestCall = 200;
    const std::string field = reason.substr(0, reason.find(':'));
    m_metrics.count("records_refused", field == reason ? "whole" : field);
    const auto now = steadyNow();
    if (now < m_refusedLogAt) {
        ++m_refusedUnlogged;
        return;
    }
    m_refusedLogAt = now + linePeriod;
    telemetry::logEvent(event_code::RecordRefused,
        { { "call", what.substr(0, longestCall) }, { "reason", reason },
            { "unlogged", std::to_string(std::exchange(m_refusedUnlogged, 0)) } },
        telemetry::severity::Warning);
}

bool registry_role::isServiceNamed(const std::string& service)
{
    const auto& named = services();
    return m_feed.version() == 0
        || std::any_of(named.begin(), named.end(), [&service](const auto& one) { return one.name == service; });
}

void registry_role::takeAnnouncement(const registry::target_record& record)
{
    const auto* known = m_state.targets().find(record.id);
    if (known == nullptr || record.startedMs > known->startedMs) {
        submitOnce(record);
        return;
    }
    if (record.startedMs < known->startedMs) {
        // Late, or of a target whose clock was stepped back: it is asked, once the life known is over.
        if (registry::isOver(*known))
            m_watch.verify(record, [this](const registry::target_record& alive) { submitOnce(alive); });
        return;
    }
    auto announced = record;
    if (known->state == registry::target_state::Draining)
        announced.state = known->state; // it said so in an answer, and leaves whatever it announces
    if (registry::differsFrom(*known, announced) && registry::orderOf(record) >= registry::orderOf(*known))
        submitOnce(record);
}

void registry_role::takeLeaving(const std::vector<registry::target_incarnation>& targets)
{
    for (const auto& target : targets) {
        const auto* known = m_state.targets().find(target.id);
        const bool isOpen = known != nullptr && known->incarnation() == target
            && (known->state == registry::target_state::Ready || known->state == registry::target_state::Lost);
        if (!isOpen || m_submitted.contains(target))
            continue;
        registry::target_record leaving = *known;
        leaving.state = registry::target_state::Draining;
        submitOnce(leaving);
    }
}

void registry_role::submitOnce(const registry::target_record& record)
{
    if (m_submitted.insert(record.incarnation()).second)
        submitTargets({ record }, [this, target = record.incarnation()](bool) { m_submitted.erase(target); });
}

void registry_role::submitTargets(const std::vector<registry::target_record>& records, std::function<void(bool)> done)
{
    const std::string id = randomName();
    m_log->submit(id, encodeTargets(id, records), std::move(done), callPatience);
}

} // namespace buckthornrail::app
