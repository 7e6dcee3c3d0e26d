/// @file
/// @brief Maintains the session and the configuration lease.
#include "app/shared/session_client.hpp"

#include <functional>

namespace buckthornrail::app {
namespace {

constexpr std::size_t maxUnackedHeartbeats = 64;

} // namespace

session_client::session_client(link::event_loop& loop, link::link_hub& hub, const settings::settings& settings,
    membership::instance_record record, bool wantsState, session_callbacks callbacks)
    : m_hub(hub)
    , m_settings(settings)
    , m_record(std::move(record))
    , m_wantsState(wantsState)
    , m_callbacks(std::move(callbacks))
    , m_controllerIndex(std::hash<std::string>()(m_record.id) % settings.controllers.size())
    , m_heartbeat(loop, milliseconds(settings.heartbeatMs), [this] { sendHeartbeat(); })
{
    loop.post([this] { connect(); });
}

bool session_client::onOpened(link::link_number linkNumber)
{
    if (linkNumber != m_linkNumber)
        return false;
    m_open = true;
    m_sentAt.clear();
    m_responseDeadline = steadyNow() + milliseconds(m_settings.leaseMs / 2);
    m_pageBytes.clear();
    m_nextPage = 0;
    announce();
    sendHeartbeat();
    return true;
}

bool session_client::onClosed(link::link_number linkNumber)
{
    if (linkNumber != m_linkNumber)
        return false;
    m_open = false;
    m_linkNumber = 0;
    m_controllerIndex = (m_controllerIndex + 1) % m_settings.controllers.size();
    return true;
}

bool session_client::onMessage(link::link_number linkNumber, const link::message& message)
{
    if (linkNumber != m_linkNumber)
        return false;
    if (const auto* ack = std::get_if<link::session_ack>(&message))
        onAck(*ack);
    else if (const auto* page = std::get_if<link::configuration_page>(&message))
        onPage(*page);
    else if (const auto* delta = std::get_if<membership::membership_delta>(&message))
        onMembership(*delta);
    else if (const auto* reply = std::get_if<link::claim_reply>(&message))
        m_callbacks.claimReplyReceived(*reply);
    return true;
}

void session_client::onProgress(link::link_number linkNumber)
{
    // Part of a long message counts as activity: on a new link it would be sent again from its first byte.
    if (linkNumber == m_linkNumber)
        m_responseDeadline = steadyNow() + milliseconds(m_settings.leaseMs / 2);
}

void session_client::setState(membership::instance_state state)
{
    if (m_record.state == state)
        return;
    m_record.state = state;
    m_stateSequence = m_sequence + 1; // the ack of the next heartbeat confirms the state
    if (!m_open)
        return;
    announce();
    sendHeartbeat();
}

void session_client::setModel(const std::string& model, const std::string& version)
{
    m_record.target.model = model;
    m_record.target.version = version;
    if (m_open)
        announce();
}

bool session_client::send(const link::message& message)
{
    return m_open && m_hub.send(m_linkNumber, link::encode(message));
}

void session_client::connect()
{
    if (m_linkNumber == 0)
        m_linkNumber = m_hub.dial(m_settings.controllers[m_controllerIndex]);
}

void session_client::announce()
{
    const configuration_version currentVersion = m_needsSnapshot ? 0 : m_configuration.version();
    send(link::session_announce { m_record, currentVersion, m_membership.revision(), m_wantsState });
}

void session_client::sendHeartbeat()
{
    const steady_time now = steadyNow();
    if (!hasLease() && !m_leaseExpiryLogged) {
        m_leaseExpiryLogged = true;
        telemetry::logEvent(event_code::LeaseExpired, { { "instance", m_record.id } }, telemetry::severity::Warning);
    }
    if (m_linkNumber == 0) {
        connect();
        return;
    }
    if (!m_open)
        return;
    if (now >= m_responseDeadline) {
        m_hub.close(m_linkNumber); // the controller is unreachable or without a quorum: try the next one
        return;
    }
    ++m_sequence;
    m_sentAt[m_sequence] = now;
    if (m_sentAt.size() > maxUnackedHeartbeats)
        m_sentAt.erase(m_sentAt.begin());
    send(link::session_heartbeat { m_sequence });
}

void session_client::onAck(const link::session_ack& ack)
{
    const auto sent = m_sentAt.find(ack.sequence);
    if (sent == m_sentAt.end())
        return;
    const steady_time sentAt = sent->second;
    m_sentAt.erase(m_sentAt.begin(), std::next(sent));
    m_ackedSequence = std::max(m_ackedSequence, ack.sequence);
    m_responseDeadline = steadyNow() + milliseconds(m_settings.leaseMs / 2);
    if (!ack.known)
        announce();
    if (!m_wantsState && ack.configuration > m_version) {
        m_version = ack.configuration;
        telemetry::logEvent(
            event_code::ConfigurationApplied, { { "version", std::to_string(m_version) }, { "form", "version" } });
    }
    const configuration_version currentVersion = m_wantsState ? m_configuration.version() : m_version;
    // The controller was current at some time after sentAt, and has sent everything that it knew by then. So the lease
    // runs from sentAt.
    if (ack.configuration == currentVersion && currentVersion != 0) {
        m_leaseDeadline = std::max(m_leaseDeadline, sentAt + milliseconds(m_settings.leaseMs));
        m_leaseExpiryLogged = false;
        m_callbacks.leaseRenewed(ack.configuration, m_leaseDeadline);
    }
    m_callbacks.drainRequested(ack.drain);
    if (ack.order.fence != 0)
        m_callbacks.orderReceived(ack.order);
}

void session_client::onPage(const link::configuration_page& page)
{
    if (page.page == 0) {
        m_pageBytes.clear();
        m_nextPage = 0;
    }
    if (page.page != m_nextPage)
        return;
    m_pageBytes += page.bytes;
    ++m_nextPage;
    if (m_nextPage < page.pages)
        return;
    const auto applied = m_configuration.apply({ page.from, page.to, std::move(m_pageBytes) });
    m_pageBytes.clear();
    if (!applied) {
        telemetry::logEvent(event_code::ConfigurationRejected,
            { { "version", std::to_string(page.to) }, { "reason", applied.error().reason } },
            telemetry::severity::Error);
        m_needsSnapshot = true;
        m_hub.close(m_linkNumber); // the next session starts with the complete document
        return;
    }
    m_needsSnapshot = false;
    if (!*applied)
        return;
    telemetry::logEvent(event_code::ConfigurationApplied,
        { { "version", std::to_string(page.to) }, { "form", page.from == 0 ? "snapshot" : "delta" } });
    m_callbacks.configurationApplied(m_configuration.current(), m_configuration.version());
}

void session_client::onMembership(const membership::membership_delta& delta)
{
    if (m_membership.apply(delta))
        m_callbacks.membershipChanged(delta);
    else
        m_hub.close(m_linkNumber);
}

} // namespace buckthornrail::app
