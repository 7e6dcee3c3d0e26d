/// @file
/// @brief An entry's links to sidecars, each opened with the first message for it.
#pragma once

#include "buckthornrail/link/link_hub.hpp"
#include "buckthornrail/link/message.hpp"

#include <functional>
#include <map>

namespace buckthornrail::app {

struct sidecar_link_callbacks {
    /// A link closed while an offer was still queued for it, so that the offer has not left this process.
    std::function<void(const attempt_id&)> offerNotSent;
    /// A link closed. Called after offerNotSent.
    std::function<void(const instance_id&)> linkLost;
};

/// @brief Used on the loop thread only.
class sidecar_links {
public:
    sidecar_links(
        link::link_hub& hub, instance_id self, incarnation_number incarnation, sidecar_link_callbacks callbacks)
        : m_hub(hub)
        , m_self(std::move(self))
        , m_incarnation(incarnation)
        , m_callbacks(std::move(callbacks))
    {
    }

    /// @brief Sends a message over the link to an instance. Dials the link first if there is none, and queues the
    /// message until it is open.
    /// @param address link address of the instance, used when dialling
    void send(const instance_id& instance, const std::string& address, const link::message& message);
    void close(const instance_id& instance);

    void onOpened(link::link_number linkNumber);
    void onClosed(link::link_number linkNumber);
    /// @return the sidecar at the other end, or an empty identifier for any other link
    [[nodiscard]] instance_id instanceOf(link::link_number linkNumber) const
    {
        const auto found = m_instanceByLink.find(linkNumber);
        return found == m_instanceByLink.end() ? instance_id() : found->second;
    }
    [[nodiscard]] std::size_t size() const { return m_links.size(); }

private:
    struct unsent_message {
        std::string bytes;
        std::optional<attempt_id> offer; ///< set if the message is an offer
    };
    struct sidecar_link {
        link::link_number linkNumber = 0;
        bool open = false;
        std::vector<unsent_message> unsent; ///< queued until the link is open
    };

    link::link_hub& m_hub;
    instance_id m_self;
    incarnation_number m_incarnation;
    sidecar_link_callbacks m_callbacks;
    std::map<instance_id, sidecar_link> m_links;
    std::map<link::link_number, instance_id> m_instanceByLink;
    std::uint64_t m_epoch = 0; ///< number of links opened; shows a sidecar which of them is the newest
};

} // namespace buckthornrail::app
