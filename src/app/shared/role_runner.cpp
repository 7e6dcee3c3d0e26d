/// @file
/// @brief Decoding of received messages, and reporting of slow tasks on the loop.
#include "app/shared/role_runner.hpp"

namespace buckthornrail::app {

std::optional<link::message> decodeOrClose(link::link_hub& hub, link::link_number linkNumber, const std::string& bytes)
{
    auto message = link::decode(bytes);
    if (message)
        return std::move(*message);
    telemetry::logEvent(event_code::MessageRejected,
        { { "channel", std::to_string(linkNumber) }, { "reason", message.error().reason } },
        telemetry::severity::Warning);
    hub.close(linkNumber);
    return std::nullopt;
}

void reportSlowTasks(link::event_loop& loop, telemetry::metrics& metrics)
{
    loop.reportSlowTasks([&metrics](const link::slow_task& task) {
        metrics.count("loop_holds", std::string(task.name));
        telemetry::logEvent(event_code::LoopHeld,
            { { "work", std::string(task.name) }, { "ms", std::to_string(task.elapsed.count()) } },
            telemetry::severity::Warning);
    });
}

} // namespace buckthornrail::app
