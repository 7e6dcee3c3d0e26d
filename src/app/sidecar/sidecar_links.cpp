/// @file
/// @brief Dials links to sidecars and queues messages until they are open.
#include "app/sidecar/sidecar_links.hpp"

namespace buckthornrail::app {

void sidecar_links::send(const instance_id& instance, const std::string& address, const link::message& message)
{
    auto& sidecarLink = m_links[instance];
    if (sidecarLink.linkNumber == 0) {
        sidecarLink.linkNumber = m_hub.dial(address);
        m_instanceByLink[sidecarLink.linkNumber] = instance;
    }
    const std::string bytes = link::encode(message);
    if (sidecarLink.open && m_hub.send(sidecarLink.linkNumber, bytes))
        return;
    const auto* offer = std::get_if<dispatch::attempt_offer>(&message);
    sidecarLink.unsent.push_back({ bytes, offer == nullptr ? std::nullopt : std::optional(offer->attempt) });
}

void sidecar_links::close(const instance_id& instance)
{
    const auto found = m_links.find(instance);
    if (found != m_links.end() && found->second.linkNumber != 0)
        m_hub.close(found->second.linkNumber);
}

void sidecar_links::onOpened(link::link_number linkNumber)
{
    const auto known = m_instanceByLink.find(linkNumber);
    if (known == m_instanceByLink.end())
        return;
    auto& sidecarLink = m_links[known->second];
    sidecarLink.open = true;
    m_hub.send(linkNumber, link::encode(link::link_hello { m_self, m_incarnation, ++m_epoch }));
    for (const auto& message : std::exchange(sidecarLink.unsent, {}))
        m_hub.send(linkNumber, message.bytes);
}

void sidecar_links::onClosed(link::link_number linkNumber)
{
    const auto known = m_instanceByLink.find(linkNumber);
    if (known == m_instanceByLink.end())
        return;
    const instance_id instance = known->second;
    m_instanceByLink.erase(known);
    const auto unsent = std::move(m_links[instance].unsent);
    m_links.erase(instance);
    for (const auto& message : unsent) {
        if (message.offer)
            m_callbacks.offerNotSent(*message.offer);
    }
    m_callbacks.linkLost(instance);
}

} // namespace buckthornrail::app
