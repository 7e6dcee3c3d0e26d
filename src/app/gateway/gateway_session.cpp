/// @file
/// @brief Keeping a session with a controller.
#include "app/gateway/gateway_session.hpp"

#include "app/shared/preferred_address.hpp"
#include "app/shared/role_runner.hpp"
#include "buckthornrail/core/enum_names.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace buckthornrail::app {
namespace {

/// A controller of which nothing comes for so long is left: a beat is answered within one round of the quorum and
/// the wait for it, about 120 ms, and drained targets must be known everywhere within two seconds.
constexpr milliseconds answerTimeout { 900 };
/// A controller that answers, but knows of no leader, is left after so long: it may be on the smaller side of a cut. An
/// election takes about as long.
constexpr milliseconds leaderTimeout { 150 };
/// A nearer controller that was lost, or doesn't serve since it is slow, cut off or empty, is tried again after so
/// long: each try costs a silence of 0.9 s at most, so a tenth of the time.
constexpr milliseconds moveBackoff { 10000 };
/// Heartbeats that can't wait gather what comes within so long.
constexpr milliseconds heartbeatDelay { 3 };
/// A change of many slices is taken with pauses for so long, then without: it must be in force within two seconds.
constexpr milliseconds slicePauseTime { 800 };
/// Pauses as long as this many times a slice's own work leave streams most of the processor.
constexpr int pauseToWorkRatio = 2;

constexpr std::array disconnectCauseNames {
    enum_name<disconnect_cause> { disconnect_cause::None, "link_ended" },
    enum_name<disconnect_cause> { disconnect_cause::NoAnswer, "no_answer" },
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

gateway_session::gateway_session(link::event_loop& loop, const settings::settings& settings, gateway_document& held,
    gateway_session_callbacks callbacks)
    : m_loop(loop)
    , m_settings(settings)
    , m_callbacks(std::move(callbacks))
    , m_seeds(settings.controllers)
    , m_nextAddress(std::hash<std::string>()(settings.id))
    , m_document(held)
    , m_hub(loop,
          link::hub_handlers {
              [this](link::channel_number channel, bool) { onOpened(channel); },
              [this](link::channel_number channel) { onClosed(channel); },
              [this](link::channel_number channel, const std::string& bytes) { onMessage(channel, bytes); },
              [this](link::channel_number channel) { onProgress(channel); },
              [this](link::channel_number channel, const link::link_end& end) { onEnding(channel, end); },
          },
          hubOptions(settings))
    , m_leaderlessTimer(loop)
    , m_heartbeatTimer(loop)
    , m_inboxTimer(loop)
    , m_heartbeats(loop, milliseconds(settings.heartbeatMs), [this] { sendHeartbeat(); })
{
    loop.post([this] { connect(); });
}

std::vector<std::string> gateway_session::addresses() const
{
    std::vector<std::string> all;
    for (const auto& place : m_controllers)
        all.push_back(place.address);
    for (const auto& seed : m_seeds) {
        if (std::find(all.begin(), all.end(), seed) == all.end())
            all.push_back(seed);
    }
    return all;
}

void gateway_session::connect()
{
    if (m_channel != 0)
        return;
    const auto all = addresses();
    if (all.empty())
        return;
    // The one that was left is tried again after all others: it may have fallen silent, which costs 0.9 s to find out.
    if (m_nextController.empty() && all[m_nextAddress % all.size()] == m_address)
        ++m_nextAddress;
    m_address = m_nextController.empty() ? all[m_nextAddress++ % all.size()] : std::exchange(m_nextController, {});
    m_disconnectCause = disconnect_cause::None;
    m_answerDeadline = steadyNow() + answerTimeout;
    m_channel = m_hub.dial(m_address);
}

void gateway_session::onOpened(link::channel_number channel)
{
    if (channel != m_channel)
        return;
    m_isOpen = true;
    sendHeartbeat();
}

void gateway_session::onEnding(link::channel_number channel, const link::link_end& end)
{
    if (channel != m_channel || !m_isServed || m_disconnectCause == disconnect_cause::Nearer)
        return;
    const std::string why = m_disconnectCause == disconnect_cause::None
        ? link::nameOf(end.cause)
        : std::string(nameIn(disconnectCauseNames, m_disconnectCause));
    telemetry::logEvent(event_code::SessionLost,
        { { "controller", m_address }, { "reason", why },
            { "silent_ms", std::to_string(between(m_answeredAt, steadyNow()).count()) },
            { "received", std::to_string(m_hub.bytesReceived() - m_receivedBefore) },
            { "version", std::to_string(m_document.version()) } },
        telemetry::severity::Warning);
}

void gateway_session::onClosed(link::channel_number channel)
{
    if (channel != m_channel)
        return;
    m_channel = 0;
    m_isOpen = false;
    clearInbox();
    m_hasSentHeartbeat = false;
    const bool wasServed = std::exchange(m_isServed, false);
    if (wasServed && m_disconnectCause != disconnect_cause::Nearer)
        m_nextMoveAt = steadyNow() + moveBackoff; // the nearest may be the one that was lost, and still be told of
    if (wasServed || std::exchange(m_isSwitching, false) || !m_nextController.empty())
        connect(); // otherwise the next beat does, so that refused connections don't follow each other at once
}

void gateway_session::disconnect(disconnect_cause cause, const std::string& next)
{
    m_disconnectCause = cause;
    m_nextController = next;
    m_hub.close(m_channel);
}

void gateway_session::disconnectUnlessServed()
{
    m_leaderlessTimer.set(steadyNow() + leaderTimeout, [this, channel = m_channel] {
        if (channel == 0 || channel != m_channel || m_isServed)
            return;
        m_isSwitching = true;
        disconnect(disconnect_cause::NoLeader, {});
    });
}

std::string gateway_session::nearestController() const
{
    auto near = addressesIn(m_controllers, m_settings.failureDomain, &link::controller_place::address);
    if (std::find(near.begin(), near.end(), m_address) != near.end())
        return m_address;
    if (!near.empty())
        return preferredAddress(m_settings.id, near);
    // Without one of its own domain any is as good: those that were heard of lately share the sessions.
    for (const auto& place : m_controllers) {
        if (!place.failureDomain.empty())
            near.push_back(place.address);
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
    if (m_channel == 0) {
        connect();
        return;
    }
    if (steadyNow() >= m_answerDeadline) {
        disconnect(disconnect_cause::NoAnswer, {});
        return;
    }
    if (!m_isOpen)
        return;
    for (auto& target : m_callbacks.takeUnreachableTargets())
        m_unreachable.push_back(std::move(target));
    link::gateway_beat beat { m_settings.id, ++m_sequence, m_document.textVersion(), m_document.reportedVersion(),
        m_targets.revision(), m_callbacks.openAttempts(), std::exchange(m_unreachable, {}), m_callbacks.loads(),
        m_incarnation, {}, false };
    m_callbacks.fillRepeats(beat);
    const bool isFirst = !std::exchange(m_hasSentHeartbeat, true);
    m_callbacks.fillQuarantine(beat, isFirst);
    beat.limits = m_callbacks.takeLimitNews(isFirst);
    beat.leavingTargets = m_callbacks.leavingTargets();
    m_hub.send(m_channel, link::encode(link::message(std::move(beat))));
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

void gateway_session::onMessage(link::channel_number channel, const std::string& bytes)
{
    auto message = decodeOrClose(m_hub, channel, bytes);
    if (!message || channel != m_channel)
        return;
    if (std::holds_alternative<link::document_slice>(*message))
        onProgress(channel);
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
        const steady_time begun = steadyNow();
        if (slice->number == 0)
            m_pauseSlicesUntil = begun + slicePauseTime;
        onSlice(*slice);
        onProgress(m_channel);
        // Many slices may come within one turn: streams get theirs between them.
        const steady_time now = steadyNow();
        m_isPausing = true;
        m_inboxTimer.set(now + pauseAfter(now - begun), [this] { processInbox(); });
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

void gateway_session::onProgress(link::channel_number channel)
{
    // A document on its way is an answer that has begun: left now, it would be sent anew from its first byte.
    if (channel == m_channel)
        m_answerDeadline = steadyNow() + answerTimeout;
}

void gateway_session::rejectChange(std::uint64_t version, const failure& fault)
{
    telemetry::logEvent(event_code::ConfigurationRejected,
        { { "version", std::to_string(version) }, { "reason", fault.reason } }, telemetry::severity::Warning);
    clearInbox();
    disconnect(disconnect_cause::InvalidChange, {});
}

void gateway_session::onSlice(const link::document_slice& slice)
{
    const link::named_work work(m_loop, "document slice");
    if (const auto taken = m_document.take(slice); !taken)
        rejectChange(slice.to, taken.error());
}

bool gateway_session::takeDocument(const link::gateway_update& update)
{
    const link::named_work work(m_loop, "document");
    for (const auto& change : update.document) {
        if (const auto taken = m_document.take(change); !taken) {
            rejectChange(change.to, taken.error());
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
            m_answerDeadline = steadyNow() + answerTimeout;
        else
            disconnectUnlessServed();
        return;
    }
    if (!std::exchange(m_isServed, true))
        telemetry::logEvent(event_code::SessionOpened, { { "controller", m_address } });
    m_answeredAt = steadyNow();
    m_receivedBefore = m_hub.bytesReceived();
    m_answerDeadline = m_answeredAt + answerTimeout;
    if (!update.controllers.empty())
        m_controllers = update.controllers;
    m_callbacks.updateReceived(update);
    if (!takeDocument(update))
        return;
    for (const auto& change : update.targets) {
        const link::named_work work(m_loop, "targets");
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
    if (!update.limits.empty())
        m_callbacks.limitsReceived(update.limits);
    m_callbacks.quarantineReceived(update);
    moveToNearest();
}

} // namespace buckthornrail::app
