/// @file
/// @brief Reading messages off links.
#include "app/role_runner.hpp"

namespace buckthornrail::app {

std::optional<link::message> decodeOrClose(link::link_hub& hub, link::channel_number channel, const std::string& bytes)
{
    auto message = link::decode(bytes);
    if (message)
        return std::move(*message);
    telemetry::logEvent(event_code::MessageRejected,
        { { "channel", std::to_string(channel) }, { "reason", message.error().reason } }, telemetry::severity::Warning);
    hub.close(channel);
    return std::nullopt;
}

} // namespace buckthornrail::app
