/// @file
/// @brief Links between a replica and its peers.
#include "app/shared/replicated_log.hpp"

#include <algorithm>

namespace buckthornrail::app {
namespace {

/// Delay before a peer is dialled again after a failed attempt.
constexpr milliseconds dialBackoff { 300 };
/// Members send a hello every 200 ms.
constexpr milliseconds helloLifetime { 2000 };

} // namespace

bool replicated_log::onOpened(link::link_number linkNumber)
{
    for (auto& [address, peer] : m_peers) {
        if (peer.linkNumber != linkNumber)
            continue;
        peer.open = true;
        telemetry::logEvent(event_code::LinkOpened, { { "peer", address } });
        dialPeers(); // sends a hello immediately
        return true;
    }
    return false;
}

void replicated_log::onEnding(link::link_number linkNumber, const link::link_end& end) const
{
    for (const auto& [address, peer] : m_peers) {
        if (peer.linkNumber != linkNumber || !peer.open)
            continue;
        telemetry::logEvent(event_code::LinkClosed,
            { { "peer", address }, { "cause", link::nameOf(end.cause) },
                { "silent_ms", std::to_string(end.silence.count()) }, { "waiting", std::to_string(end.waitingBytes) } },
            telemetry::severity::Warning);
    }
}

bool replicated_log::onClosed(link::link_number linkNumber)
{
    m_acceptedLinks.erase(linkNumber);
    for (auto& [address, peer] : m_peers) {
        if (peer.linkNumber != linkNumber)
            continue;
        peer.linkNumber = 0;
        peer.nextDialAt = peer.open ? steady_time {} : steadyNow() + dialBackoff;
        peer.open = false;
        peer.isDialledAfterHello = false;
        return true;
    }
    return false;
}

void replicated_log::onProgress(link::link_number linkNumber)
{
    if (const auto accepted = m_acceptedLinks.find(linkNumber); accepted != m_acceptedLinks.end()) {
        recordContact(accepted->second, steadyNow());
        return;
    }
    for (const auto& [address, peer] : m_peers) {
        if (peer.linkNumber == linkNumber)
            recordContact(memberAt(address), steadyNow());
    }
}

agreement::member_id replicated_log::memberAt(const std::string& address) const
{
    for (const auto& [id, hello] : m_hellos) {
        if (hello.endpoint.address == address)
            return id;
    }
    agreement::member_id newest = 0;
    for (const auto& member : m_replica->members()) {
        if (member.address == address)
            newest = member.id;
    }
    return newest;
}

void replicated_log::recordContact(agreement::member_id id, steady_time now)
{
    m_contacts.record(id, now);
    m_replica->recordContact(id, now);
}

bool replicated_log::sendToLeader(const link::message& message)
{
    const link::link_number linkNumber = leaderLink();
    return linkNumber != 0 && m_hub.send(linkNumber, link::encode(message));
}

link::link_number replicated_log::leaderLink() const
{
    const auto found = m_peers.find(leaderAddress());
    return found == m_peers.end() || !found->second.open ? 0 : found->second.linkNumber;
}

std::string replicated_log::leaderAddress() const
{
    for (const auto& member : m_replica->members()) {
        if (member.id == m_replica->leader())
            return member.address;
    }
    return {};
}

std::vector<link::controller_endpoint> replicated_log::endpoints() const
{
    std::vector<link::controller_endpoint> all;
    for (const auto& member : m_replica->members()) {
        auto& endpoint = all.emplace_back();
        if (member.id == m_replica->self())
            endpoint = { {}, m_options.controlAddress, m_options.failureDomain };
        else if (const auto known = m_hellos.find(member.id); known != m_hellos.end())
            endpoint = known->second.endpoint;
        endpoint.address = member.address;
    }
    return all;
}

bool replicated_log::knowsOtherLog() const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [](const auto& item) { return item.second.initialized; });
}

void replicated_log::dialPeers()
{
    const steady_time now = steadyNow();
    const auto& members = m_replica->members();
    for (const auto& member : members) {
        if (member.address != m_options.ownAddress)
            m_peers.try_emplace(member.address);
    }
    std::erase_if(m_hellos, [now](const auto& item) { return now >= item.second.deadline; });
    std::erase_if(
        m_peers, [this](const auto& item) { return item.second.linkNumber == 0 && !isKnownAddress(item.first); });
    for (auto& [address, peer] : m_peers) {
        if (peer.linkNumber == 0 && now >= peer.nextDialAt)
            peer.linkNumber = m_hub.dial(address);
    }
    sayHello();
}

link::controller_hello replicated_log::ownHello() const
{
    link::controller_hello hello;
    hello.member = m_replica->self();
    hello.address = m_options.ownAddress;
    hello.initialized = !m_replica->members().empty();
    hello.controlAddress = m_options.controlAddress;
    hello.failureDomain = m_options.failureDomain;
    hello.isLeaving = m_leave.hasBegun;
    return hello;
}

void replicated_log::sayHello()
{
    const auto hello = ownHello();
    for (const auto& [address, peer] : m_peers) {
        sendToPeer(address, hello);
        if (!hello.initialized && !hello.isLeaving)
            sendToPeer(address, link::join_request { m_replica->self(), m_options.ownAddress });
    }
}

void replicated_log::onHello(link::link_number linkNumber, const link::controller_hello& hello)
{
    const steady_time now = steadyNow();
    m_acceptedLinks[linkNumber] = hello.member;
    // An earlier replica at the address is gone: its disk is lost.
    std::erase_if(m_hellos, [&hello](const auto& item) {
        return item.first != hello.member && item.second.endpoint.address == hello.address;
    });
    m_hellos[hello.member] = { { hello.address, hello.controlAddress, hello.failureDomain }, now + helloLifetime };
    m_peers[hello.address].initialized = hello.initialized;
    redial(hello.address);
    m_contacts.record(hello.member, now);
    m_contacts.recordLeaving(hello.member, hello.isLeaving);
    if (m_leave.hasBegun && hello.releasedMember == m_replica->self())
        m_leave.isReleased = true;
    if (!isLeader())
        return;
    const auto& members = m_replica->members();
    const bool isMember = std::any_of(
        members.begin(), members.end(), [&hello](const auto& member) { return member.id == hello.member; });
    if (hello.isLeaving && isMember) {
        updateMembers();
    } else if (hello.isLeaving && !m_replica->hasPendingMembers()) {
        auto reply = ownHello();
        reply.releasedMember = hello.member;
        sendToPeer(hello.address, reply);
    } else if (hello.initialized && !isMember && !hello.isLeaving && m_options.admitsUnlisted) {
        recordJoinRequest(hello.member, hello.address); // it was removed while it was unreachable
    }
}

void replicated_log::redial(const std::string& address)
{
    auto& peer = m_peers[address];
    if (peer.open || peer.isDialledAfterHello)
        return;
    if (peer.linkNumber != 0)
        m_hub.close(peer.linkNumber); // the peer may have been down when it was dialled, so this attempt may last until
                                      // its timeout
    peer.isDialledAfterHello = true;
    peer.linkNumber = m_hub.dial(address);
}

void replicated_log::sendToPeer(const std::string& address, const link::message& message)
{
    const auto found = m_peers.find(address);
    if (found != m_peers.end() && found->second.open)
        m_hub.send(found->second.linkNumber, link::encode(message));
}

void replicated_log::deliver(const agreement::peer_message& message)
{
    const auto& members = m_replica->members();
    const auto to
        = std::find_if(members.begin(), members.end(), [&](const auto& member) { return member.id == message.to; });
    if (to != members.end()) {
        sendToPeer(to->address, message);
        return;
    }
    // A reply to a leader that this blank or outdated replica doesn't know as a member yet. Its hello has the address.
    const auto known = m_hellos.find(message.to);
    if (known != m_hellos.end())
        sendToPeer(known->second.endpoint.address, message);
}

bool replicated_log::isKnownAddress(const std::string& address) const
{
    const auto& seeds = m_options.seeds;
    const auto& members = m_replica->members();
    return std::find(seeds.begin(), seeds.end(), address) != seeds.end()
        || std::any_of(
            members.begin(), members.end(), [&address](const auto& member) { return member.address == address; })
        || std::any_of(m_hellos.begin(), m_hellos.end(),
            [&address](const auto& item) { return item.second.endpoint.address == address; });
}

} // namespace buckthornrail::app
