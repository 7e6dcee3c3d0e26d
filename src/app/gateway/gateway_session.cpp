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
constexpr milliseconds silenceLimit { 900 };
/// A controller that answers, but knows of no leader, is left after so long: it may be on the smaller side of a cut. An
/// election takes about as long.
constexpr milliseconds leaderlessPatience { 150 };
/// A nearer controller that was lost, or doesn't serve since it is slow, cut off or empty, is tried again after so
/// long: each try costs a silence of 0.9 s at most, so a tenth of the time.
constexpr milliseconds movePause { 10000 };
/// Heartbeats that can't wait gather what comes within so long.
constexpr milliseconds soonPeriod { 3 };
/// A change of many slices is taken with pauses for so long, then without: it must be in force within two seconds.
constexpr milliseconds unhurriedTime { 800 };
/// Pauses as long as this many times a slice's own work leave streams most of the processor.
constexpr int pausesPerSlice = 2;

constexpr std::array leaveCauseNames {
    enum_name<leave_cause> { leave_cause::None, "link_ended" },
    enum_name<leave_cause> { leave_cause::Silence, "no_answer" },
    enum_name<leave_cause> { leave_cause::Nearer, "nearer" },
    enum_name<leave_cause> { leave_cause::NoLeader, "no_leader" },
    enum_name<leave_cause> { leave_cause::Unfitting, "unfitting_change" },
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
    , m_soonTimer(loop)
    , m_inboxTimer(loop)
    , m_beats(loop, milliseconds(settings.heartbeatMs), [this] { beat(); })
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
    if (m_next.empty() && all[m_nextAddress % all.size()] == m_address)
        ++m_nextAddress;
    m_address = m_next.empty() ? all[m_nextAddress++ % all.size()] : std::exchange(m_next, {});
    m_leaveCause = leave_cause::None;
    m_silenceDeadline = steadyNow() + silenceLimit;
    m_channel = m_hub.dial(m_address);
}

void gateway_session::onOpened(link::channel_number channel)
{
    if (channel != m_channel)
        return;
    m_open = true;
    beat();
}

void gateway_session::onEnding(link::channel_number channel, const link::link_end& end)
{
    if (channel != m_channel || !m_isServed || m_leaveCause == leave_cause::Nearer)
        return;
    const std::string why = m_leaveCause == leave_cause::None ? link::nameOf(end.cause)
                                                              : std::string(nameIn(leaveCauseNames, m_leaveCause));
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
    m_open = false;
    forgetInbox();
    m_hasBeaten = false;
    const bool wasServed = std::exchange(m_isServed, false);
    if (wasServed && m_leaveCause != leave_cause::Nearer)
        m_moveAt = steadyNow() + movePause; // the nearest may be the one that was lost, and still be told of
    if (wasServed || std::exchange(m_triesNext, false) || !m_next.empty())
        connect(); // otherwise the next beat does, so that refused connections don't follow each other at once
}

void gateway_session::leave(leave_cause cause, const std::string& next)
{
    m_leaveCause = cause;
    m_next = next;
    m_hub.close(m_channel);
}

void gateway_session::leaveLeaderless()
{
    m_leaderlessTimer.set(steadyNow() + leaderlessPatience, [this, channel = m_channel] {
        if (channel == 0 || channel != m_channel || m_isServed)
            return;
        m_triesNext = true;
        leave(leave_cause::NoLeader, {});
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

void gateway_session::moveNearer()
{
    const steady_time now = steadyNow();
    const std::string nearest = nearestController();
    if (now < m_moveAt || nearest.empty() || nearest == m_address)
        return;
    m_moveAt = now + movePause;
    telemetry::logEvent(event_code::SessionMoved,
        { { "controller", m_address }, { "to", nearest }, { "version", std::to_string(m_document.version()) } });
    leave(leave_cause::Nearer, nearest);
}

void gateway_session::beat()
{
    if (m_channel == 0) {
        connect();
        return;
    }
    if (steadyNow() >= m_silenceDeadline) {
        leave(leave_cause::Silence, {});
        return;
    }
    if (!m_open)
        return;
    for (auto& target : m_callbacks.takeDarkTargets())
        m_dark.push_back(std::move(target));
    link::gateway_beat beat { m_settings.id, ++m_sequence, m_document.textVersion(), m_document.toldVersion(),
        m_targets.revision(), m_callbacks.openAttempts(), std::exchange(m_dark, {}), m_callbacks.loads(), m_life, {},
        false };
    m_callbacks.tellRepeats(beat);
    const bool isFirst = !std::exchange(m_hasBeaten, true);
    m_callbacks.tellQuarantine(beat, isFirst);
    beat.limits = m_callbacks.takeLimitNews(isFirst);
    beat.leavingTargets = m_callbacks.leavingTargets();
    m_hub.send(m_channel, link::encode(link::message(std::move(beat))));
}

void gateway_session::beatSoon()
{
    if (!m_open || std::exchange(m_isSoon, true))
        return;
    m_soonTimer.set(steadyNow() + soonPeriod, [this] {
        m_isSoon = false;
        beat();
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
        workThroughInbox();
}

void gateway_session::workThroughInbox()
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
            m_unhurriedUntil = begun + unhurriedTime;
        onSlice(*slice);
        onProgress(m_channel);
        // Many slices may come within one turn: streams get theirs between them.
        const steady_time now = steadyNow();
        m_isPausing = true;
        m_inboxTimer.set(now + pauseAfter(now - begun), [this] { workThroughInbox(); });
        return;
    }
}

steady_time::duration gateway_session::pauseAfter(steady_time::duration slice) const
{
    const bool isUnhurried = m_document.version() != 0 && steadyNow() < m_unhurriedUntil;
    return isUnhurried ? slice * pausesPerSlice : steady_time::duration(0);
}

void gateway_session::forgetInbox()
{
    m_inbox.clear();
    m_inboxTimer.cancel();
    m_isPausing = false;
    m_document.linkEnded();
}

void gateway_session::onProgress(link::channel_number channel)
{
    // A document on its way is an answer that has begun: left now, it would be sent anew from its first byte.
    if (channel == m_channel)
        m_silenceDeadline = steadyNow() + silenceLimit;
}

void gateway_session::leaveUnfitting(std::uint64_t version, const failure& fault)
{
    telemetry::logEvent(event_code::ConfigurationRejected,
        { { "version", std::to_string(version) }, { "reason", fault.reason } }, telemetry::severity::Warning);
    forgetInbox();
    leave(leave_cause::Unfitting, {});
}

void gateway_session::onSlice(const link::document_slice& slice)
{
    const link::named_work work(m_loop, "document slice");
    if (const auto taken = m_document.take(slice); !taken)
        leaveUnfitting(slice.to, taken.error());
}

bool gateway_session::takeDocument(const link::gateway_update& update)
{
    const link::named_work work(m_loop, "document");
    for (const auto& change : update.document) {
        if (const auto taken = m_document.take(change); !taken) {
            leaveUnfitting(change.to, taken.error());
            return false;
        }
    }
    const auto changed = m_document.putInForce();
    if (!changed) {
        leaveUnfitting(m_document.version(), changed.error());
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
            m_silenceDeadline = steadyNow() + silenceLimit;
        else
            leaveLeaderless();
        return;
    }
    if (!std::exchange(m_isServed, true))
        telemetry::logEvent(event_code::SessionOpened, { { "controller", m_address } });
    m_answeredAt = steadyNow();
    m_receivedBefore = m_hub.bytesReceived();
    m_silenceDeadline = m_answeredAt + silenceLimit;
    if (!update.controllers.empty())
        m_controllers = update.controllers;
    m_callbacks.served(update);
    if (!takeDocument(update))
        return;
    for (const auto& change : update.targets) {
        const link::named_work work(m_loop, "targets");
        const auto delta = readTargetsUpdate(change);
        if (!delta)
            telemetry::logEvent(event_code::MessageRejected,
                { { "what", "targets" }, { "reason", delta.error().reason } }, telemetry::severity::Warning);
        if (!delta || !m_targets.apply(*delta)) {
            leave(leave_cause::Unfitting, {});
            return;
        }
        m_callbacks.targetsChanged(m_targets);
    }
    m_callbacks.othersLoads(update.othersLoads);
    if (!update.limits.empty())
        m_callbacks.limitsTold(update.limits);
    m_callbacks.quarantineTold(update);
    moveNearer();
}

} // namespace buckthornrail::app
