/// @file
/// @brief Selecting a controller and maintaining a session with it.
#include "app/gateway/gateway_session.hpp"

#include "app/shared/preferred_address.hpp"
#include "app/shared/role_runner.hpp"
#include "buckthornrail/core/enum_names.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace buckthornrail::app {
namespace {

/// Time without data from a controller after which the gateway disconnects. The response to a heartbeat takes one
/// quorum round and the wait for it, about 120 ms, and drained targets must be known everywhere within two seconds.
constexpr milliseconds responseTimeout { 900 };
/// Time after which the gateway disconnects from a controller that responds but knows no leader: it may be in the
/// minority of a network partition. An election takes about as long.
constexpr milliseconds leaderTimeout { 150 };
/// Backoff before a nearer controller is tried again that was lost, or doesn't serve because it is slow, partitioned or
/// empty. Each attempt costs up to 0.9 s without responses, less than a tenth of the time.
constexpr milliseconds moveBackoff { 10000 };
/// Urgent heartbeats are delayed to batch the reports that arrive meanwhile.
constexpr milliseconds heartbeatDelay { 3 };
/// Least time from a heartbeat to the next one that reports queued requests. With 100 ms, a gateway that queues
/// continuously would exceed the 5 KB/s of control traffic that it may cause.
constexpr milliseconds waitingHeartbeatPeriod { 200 };
/// Time in which slices of a change are followed by pauses; later ones are not, as a change must become active within
/// two seconds.
constexpr milliseconds slicePauseTime { 800 };
/// Ratio of a pause to the processing time of the slice before it: leaves most of the processor to streams.
constexpr int pauseToWorkRatio = 2;

constexpr std::array disconnectCauseNames {
    enum_name<disconnect_cause> { disconnect_cause::None, "link_ended" },
    enum_name<disconnect_cause> { disconnect_cause::NoResponse, "no_answer" },
    enum_name<disconnect_cause> { disconnect_cause::Nearer, "nearer" },
    enum_name<disconnect_cause> { disconnect_cause::NoLeader, "no_leader" },
    enum_name<disconnect_cause> { disconnect_cause::InvalidChange, "unfitting_change" },
};

link::hub_options hubOptions(const settings::settings& settings)
{
    link::hub_options options;
    options.keepAlivePeriod = milliseconds(settings.linkKeepAliveMs);
    options.openTimeout = milliseconds(settings.linkOpenTimeoutMs);
    return options;
}

} // namespace

gateway_session::gateway_session(link::event_loop& loop, const settings::settings& settings, gateway_document& document,
    gateway_session_callbacks callbacks)
    : m_loop(loop)
    , m_settings(settings)
    , m_callbacks(std::move(callbacks))
    , m_seeds(settings.controllers)
    , m_nextAddress(std::hash<std::string>()(settings.id))
    , m_document(document)
    , m_hub(loop,
          link::hub_handlers {
              [this](link::link_number link, bool) { onOpened(link); },
              [this](link::link_number link) { onClosed(link); },
              [this](link::link_number link, const std::string& bytes) { onMessage(link, bytes); },
              [this](link::link_number link) { onProgress(link); },
              [this](link::link_number link, const link::link_end& end) { onEnding(link, end); },
          },
          hubOptions(settings))
    , m_leaderlessTimer(loop)
    , m_heartbeatTimer(loop)
    , m_inboxTimer(loop)
    , m_waitingTimer(loop)
    , m_heartbeats(loop, milliseconds(settings.heartbeatMs), [this] { sendHeartbeat(); })
{
    loop.post([this] { connect(); });
}

std::vector<std::string> gateway_session::addresses() const
{
    std::vector<std::string> all;
    for (const auto& endpoint : m_controllers)
        all.push_back(endpoint.address);
    for (const auto& seed : m_seeds) {
        if (std::find(all.begin(), all.end(), seed) == all.end())
            all.push_back(seed);
    }
    return all;
}

void gateway_session::connect()
{
    if (m_link != 0)
        return;
    const auto all = addresses();
    if (all.empty())
        return;
    // The last controller is tried again after all others: if it no longer responds, detecting that takes 0.9 s.
    if (m_nextController.empty() && all[m_nextAddress % all.size()] == m_address)
        ++m_nextAddress;
    m_address = m_nextController.empty() ? all[m_nextAddress++ % all.size()] : std::exchange(m_nextController, {});
    m_disconnectCause = disconnect_cause::None;
    m_responseDeadline = steadyNow() + responseTimeout;
    m_link = m_hub.dial(m_address);
}

void gateway_session::onOpened(link::link_number link)
{
    if (link != m_link)
        return;
    m_isOpen = true;
    sendHeartbeat();
}

void gateway_session::onEnding(link::link_number link, const link::link_end& end)
{
    if (link != m_link || !m_isServed || m_disconnectCause == disconnect_cause::Nearer)
        return;
    const std::string why = m_disconnectCause == disconnect_cause::None
        ? link::nameOf(end.cause)
        : std::string(nameIn(disconnectCauseNames, m_disconnectCause));
    telemetry::logEvent(event_code::SessionLost,
        { { "controller", m_address }, { "reason", why },
            { "silent_ms", std::to_string(between(m_lastResponseAt, steadyNow()).count()) },
            { "received", std::to_string(m_hub.bytesReceived() - m_receivedBefore) },
            { "version", std::to_string(m_document.version()) } },
        telemetry::severity::Warning);
}

void gateway_session::onClosed(link::link_number link)
{
    if (link != m_link)
        return;
    m_link = 0;
    m_isOpen = false;
    clearInbox();
    m_hasSentHeartbeat = false;
    cancelWaitingHeartbeat();
    const bool wasServed = std::exchange(m_isServed, false);
    if (wasServed && m_disconnectCause != disconnect_cause::Nearer)
        m_nextMoveAt = steadyNow() + moveBackoff; // the nearest may be the lost one, and still be reported by others
    if (wasServed || std::exchange(m_isSwitching, false) || !m_nextController.empty())
        connect(); // otherwise the next heartbeat connects, which spaces out refused connections
}

void gateway_session::disconnect(disconnect_cause cause, const std::string& next)
{
    m_disconnectCause = cause;
    m_nextController = next;
    m_hub.close(m_link);
}

void gateway_session::disconnectUnlessServed()
{
    m_leaderlessTimer.set(steadyNow() + leaderTimeout, [this, link = m_link] {
        if (link == 0 || link != m_link || m_isServed)
            return;
        m_isSwitching = true;
        disconnect(disconnect_cause::NoLeader, {});
    });
}

std::string gateway_session::nearestController() const
{
    auto near = addressesIn(m_controllers, m_settings.failureDomain, &link::controller_endpoint::address);
    if (std::find(near.begin(), near.end(), m_address) != near.end())
        return m_address;
    if (!near.empty())
        return preferredAddress(m_settings.id, near);
    // Without a controller in the own domain, sessions are spread over those with recent contact, whose failure
    // domain is known.
    for (const auto& endpoint : m_controllers) {
        if (!endpoint.failureDomain.empty())
            near.push_back(endpoint.address);
    }
    return preferredAddress(m_settings.id, near);
}

void gateway_session::moveToNearest()
{
    const steady_time now = steadyNow();
    const std::string nearest = nearestController();
    if (now < m_nextMoveAt || nearest.empty() || nearest == m_address)
        return;
    m_nextMoveAt = now + moveBackoff;
    telemetry::logEvent(event_code::SessionMoved,
        { { "controller", m_address }, { "to", nearest }, { "version", std::to_string(m_document.version()) } });
    disconnect(disconnect_cause::Nearer, nearest);
}

void gateway_session::sendHeartbeat()
{
    if (m_link == 0) {
        connect();
        return;
    }
    if (steadyNow() >= m_responseDeadline) {
        disconnect(disconnect_cause::NoResponse, {});
        return;
    }
    if (!m_isOpen)
        return;
    for (auto& target : m_callbacks.takeUnreachableTargets())
        m_unreachable.push_back(std::move(target));
    link::gateway_heartbeat heartbeat { m_settings.id, ++m_sequence, m_document.textVersion(),
        m_document.reportedVersion(), m_targets.revision(), m_callbacks.openAttempts(),
        std::exchange(m_unreachable, {}), m_callbacks.loads(), m_incarnation, {}, false };
    m_callbacks.fillRetries(heartbeat);
    const bool isFirst = !std::exchange(m_hasSentHeartbeat, true);
    m_callbacks.fillQuarantine(heartbeat, isFirst);
    heartbeat.limits = m_callbacks.takeLimitReports(isFirst);
    heartbeat.leavingTargets = m_callbacks.leavingTargets();
    registry::add(heartbeat.demand, m_callbacks.demand());
    cancelWaitingHeartbeat(); // this one reports the queued requests
    m_nextWaitingAt = steadyNow() + waitingHeartbeatPeriod;
    m_hub.send(m_link, link::encode(link::message(std::move(heartbeat))));
}

void gateway_session::sendHeartbeatSoon()
{
    if (!m_isOpen || std::exchange(m_isHeartbeatScheduled, true))
        return;
    m_heartbeatTimer.set(steadyNow() + heartbeatDelay, [this] {
        m_isHeartbeatScheduled = false;
        sendHeartbeat();
    });
}

void gateway_session::sendHeartbeatWhileWaiting()
{
    if (!m_isOpen || std::exchange(m_isWaitingScheduled, true))
        return;
    m_waitingTimer.set(std::max(m_nextWaitingAt, steadyNow() + heartbeatDelay), [this] {
        m_isWaitingScheduled = false;
        sendHeartbeat();
    });
}

void gateway_session::cancelWaitingHeartbeat()
{
    m_waitingTimer.cancel();
    m_isWaitingScheduled = false;
}

void gateway_session::onMessage(link::link_number link, const std::string& bytes)
{
    auto message = decodeOrClose(m_hub, link, bytes);
    if (!message || link != m_link)
        return;
    if (std::holds_alternative<link::document_slice>(*message))
        onProgress(link);
    m_inbox.push_back(std::move(*message));
    if (!m_isPausing)
        processInbox();
}

void gateway_session::processInbox()
{
    m_isPausing = false;
    while (!m_inbox.empty()) {
        const auto next = std::move(m_inbox.front());
        m_inbox.pop_front();
        if (const auto* update = std::get_if<link::gateway_update>(&next))
            onUpdate(*update);
        const auto* slice = std::get_if<link::document_slice>(&next);
        if (slice == nullptr)
            continue;
        const steady_time startedAt = steadyNow();
        if (slice->number == 0)
            m_pauseSlicesUntil = startedAt + slicePauseTime;
        onSlice(*slice);
        onProgress(m_link);
        // Many slices may arrive in one turn of the loop: streams are served between them.
        const steady_time now = steadyNow();
        m_isPausing = true;
        m_inboxTimer.set(now + pauseAfter(now - startedAt), [this] { processInbox(); });
        return;
    }
}

steady_time::duration gateway_session::pauseAfter(steady_time::duration slice) const
{
    const bool mayPause = m_document.version() != 0 && steadyNow() < m_pauseSlicesUntil;
    return mayPause ? slice * pauseToWorkRatio : steady_time::duration(0);
}

void gateway_session::clearInbox()
{
    m_inbox.clear();
    m_inboxTimer.cancel();
    m_isPausing = false;
    m_document.discardPartial();
}

void gateway_session::onProgress(link::link_number link)
{
    // A partly received document counts as a response: after a disconnect it would be sent again from its first byte.
    if (link == m_link)
        m_responseDeadline = steadyNow() + responseTimeout;
}

void gateway_session::rejectChange(std::uint64_t version, const failure& error)
{
    telemetry::logEvent(event_code::ConfigurationRejected,
        { { "version", std::to_string(version) }, { "reason", error.reason } }, telemetry::severity::Warning);
    clearInbox();
    disconnect(disconnect_cause::InvalidChange, {});
}

void gateway_session::onSlice(const link::document_slice& slice)
{
    const link::timed_task task(m_loop, "document slice");
    if (const auto result = m_document.add(slice); !result)
        rejectChange(slice.to, result.error());
}

bool gateway_session::applyDocument(const link::gateway_update& update)
{
    const link::timed_task task(m_loop, "document");
    for (const auto& change : update.document) {
        if (const auto result = m_document.add(change); !result) {
            rejectChange(change.to, result.error());
            return false;
        }
    }
    const auto changed = m_document.activate();
    if (!changed) {
        rejectChange(m_document.version(), changed.error());
        return false;
    }
    if (*changed)
        m_callbacks.documentChanged();
    return true;
}

void gateway_session::onUpdate(const link::gateway_update& update)
{
    if (!update.isServed) {
        if (update.waitsForQuorum)
            m_responseDeadline = steadyNow() + responseTimeout;
        else
            disconnectUnlessServed();
        return;
    }
    if (!std::exchange(m_isServed, true))
        telemetry::logEvent(event_code::SessionOpened, { { "controller", m_address } });
    m_lastResponseAt = steadyNow();
    m_receivedBefore = m_hub.bytesReceived();
    m_responseDeadline = m_lastResponseAt + responseTimeout;
    if (!update.controllers.empty())
        m_controllers = update.controllers;
    m_callbacks.updateReceived(update);
    if (!applyDocument(update))
        return;
    for (const auto& change : update.targets) {
        const link::timed_task task(m_loop, "targets");
        const auto delta = readTargetsUpdate(change);
        if (!delta)
            telemetry::logEvent(event_code::MessageRejected,
                { { "what", "targets" }, { "reason", delta.error().reason } }, telemetry::severity::Warning);
        if (!delta || !m_targets.apply(*delta)) {
            disconnect(disconnect_cause::InvalidChange, {});
            return;
        }
        m_callbacks.targetsChanged(m_targets);
    }
    m_callbacks.otherLoadsReceived(update.othersLoads);
    m_callbacks.othersDemandReceived(update.othersDemand);
    if (!update.limits.empty())
        m_callbacks.limitsReceived(update.limits);
    m_callbacks.quarantineReceived(update);
    moveToNearest();
}

} // namespace buckthornrail::app
