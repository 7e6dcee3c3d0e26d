/// @file
/// @brief Runs a role as a daemon, from loaded settings to the exit status.
#pragma once

#include "app/shared/process.hpp"
#include "app/shared/settings_watch.hpp"
#include "buckthornrail/link/link_hub.hpp"
#include "buckthornrail/link/message.hpp"

namespace buckthornrail::app {

/// Log lines are collected for this long, so that many lines need only one wake-up and one write.
inline constexpr milliseconds logFlushInterval { 100 };

/// @brief Decodes a message. A malformed one is logged, and its link is closed.
/// @return nothing for a malformed message
std::optional<link::message> decodeOrClose(link::link_hub& hub, link::link_number linkNumber, const std::string& bytes);

/// @brief Logs and counts named tasks that block the loop for longer than the limit.
void reportSlowTasks(link::event_loop& loop, telemetry::metrics& metrics);

/// @brief Runs a role and its HTTP server until the role has stopped after SIGTERM or SIGINT.
/// @tparam Role has start(), isReady() and stop(std::function<void()>)
/// @param makeRoutes returns the role's own routes; the health routes are added to them
/// @return the exit status
template <typename Role>
int runRole(const settings::settings& settings, settings::process_role kind,
    const std::function<std::vector<http::http_route>(link::event_loop&, Role&)>& makeRoutes)
{
    link::event_loop loop;
    telemetry::metrics metrics;
    std::unique_ptr<Role> role;
    const signal_watch watch(loop, [&] {
        telemetry::logEvent(event_code::ProcessStopping, { { "instance", settings.id } });
        role->stop([&loop] { loop.stop(); });
    });
    role = std::make_unique<Role>(loop, settings, metrics);
    if (const auto started = role->start(); !started) {
        const auto& error = started.error();
        const bool isStorage = error.code == result_code::StorageFailed || error.code == result_code::StorageCorrupt;
        telemetry::logEvent(isStorage ? event_code::StorageFault : event_code::SettingsRejected,
            { { "code", std::to_string(static_cast<int>(error.code)) }, { "reason", error.reason } },
            telemetry::severity::Error);
        return exitFailure;
    }
    auto routes = makeRoutes(loop, *role);
    for (auto& route : healthRoutes(metrics, [&role] { return role->isReady(); }))
        routes.push_back(std::move(route));
    auto server = startHttp(settings, std::move(routes));
    if (!server) {
        telemetry::logEvent(event_code::SettingsRejected, { { "reason", server.error() } }, telemetry::severity::Error);
        return exitFailure;
    }
    telemetry::logEvent(event_code::ProcessStarted,
        { { "role", std::string(nameIn(settings::processRoleNames, kind)) }, { "instance", settings.id },
            { "link", settings.linkAddress }, { "http", settings.httpAddress } });
    const periodic_task logFlush(loop, logFlushInterval, [&loop] {
        const link::timed_task task(loop, "log");
        telemetry::flushLog();
    });
    reportSlowTasks(loop, metrics);
    loop.run();
    server->reset();
    role.reset();
    telemetry::logEvent(event_code::ProcessStopped, { { "instance", settings.id } });
    return exitOk;
}

/// @brief Runs a role, which serves HTTP itself, until it has stopped after SIGTERM or SIGINT. Passes changed settings
/// to the role.
/// @tparam Role has start(), stop(std::function<void()>) and reload(const settings::settings&)
/// @param makeRole creates the role
/// @return the exit status
template <typename Role>
int runReloadableRole(const settings::settings& settings, settings::process_role kind,
    const std::function<std::unique_ptr<Role>(link::event_loop&, telemetry::metrics&)>& makeRole)
{
    link::event_loop loop;
    telemetry::metrics metrics;
    std::unique_ptr<Role> role;
    std::unique_ptr<settings_watch> settingsWatch;
    const signal_watch watch(
        loop,
        [&] {
            telemetry::logEvent(event_code::ProcessStopping, { { "instance", settings.id } });
            role->stop([&loop] { loop.stop(); });
        },
        [&settingsWatch] { settingsWatch->read(true); });
    role = makeRole(loop, metrics);
    if (const auto started = role->start(); !started) {
        telemetry::logEvent(
            event_code::SettingsRejected, { { "reason", started.error().reason } }, telemetry::severity::Error);
        return exitFailure;
    }
    telemetry::logEvent(event_code::ProcessStarted,
        { { "role", std::string(nameIn(settings::processRoleNames, kind)) }, { "instance", settings.id },
            { "link", settings.linkAddress }, { "callers", settings.gatewayAddress },
            { "http", settings.httpAddress } });
    settingsWatch = std::make_unique<settings_watch>(
        loop, settings, kind, [&role](const settings::settings& changed) { role->reload(changed); });
    const periodic_task logFlush(loop, logFlushInterval, [&loop] {
        const link::timed_task task(loop, "log");
        telemetry::flushLog();
    });
    reportSlowTasks(loop, metrics);
    loop.run();
    settingsWatch.reset();
    role.reset();
    telemetry::logEvent(event_code::ProcessStopped, { { "instance", settings.id } });
    return exitOk;
}

} // namespace buckthornrail::app
