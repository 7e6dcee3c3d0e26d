/// @file
/// @brief Facilities that all roles share: signals, timers, health endpoints and random numbers.
#pragma once

#include "buckthornrail/core/identifiers.hpp"
#include "buckthornrail/http/http_server.hpp"
#include "buckthornrail/link/event_loop.hpp"
#include "buckthornrail/settings/settings.hpp"
#include "buckthornrail/telemetry/log.hpp"
#include "buckthornrail/telemetry/metrics.hpp"

#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <optional>

namespace buckthornrail::app {

/// @brief The current time on the boot clock. Classes without I/O don't call it; their callers pass the time in.
inline steady_time steadyNow() { return boot_clock::now(); }

/// @return the time of day in seconds since 1970
std::uint64_t wallSeconds();

/// @return a random number from the operating system; never 0
std::uint64_t randomNumber();

/// @return a random identifier of 32 hexadecimal digits
std::string randomId();

/// @brief Handles SIGTERM, SIGINT and SIGHUP on the loop thread. Construct it before any other thread is started, as
/// threads inherit the blocked signals.
class signal_watch {
public:
    /// @param onStop called on SIGTERM and SIGINT
    /// @param onReload called on SIGHUP; empty: SIGHUP is ignored
    signal_watch(link::event_loop& loop, std::function<void()> onStop, std::function<void()> onReload = {});
    signal_watch(const signal_watch&) = delete;
    signal_watch& operator=(const signal_watch&) = delete;
    ~signal_watch();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// @brief Runs a function on the loop thread until this object is destroyed.
class periodic_task {
public:
    /// @param period from the end of a run to the start of the next
    periodic_task(link::event_loop& loop, milliseconds period, std::function<void()> task);
    periodic_task(const periodic_task&) = delete;
    periodic_task& operator=(const periodic_task&) = delete;
    ~periodic_task() = default;

private:
    void schedule();

    link::event_loop& m_loop;
    milliseconds m_period;
    std::function<void()> m_task;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

/// @brief Runs a function on the loop thread and waits for the result that it passes to its callback. Must not be
/// called on the loop thread.
/// @return nothing when there was no result within the timeout; a later one is discarded
template <typename Result>
std::optional<Result> callOnLoop(
    link::event_loop& loop, milliseconds timeout, std::function<void(std::function<void(Result)>)> task)
{
    auto promise = std::make_shared<std::promise<Result>>();
    auto hasResult = std::make_shared<std::atomic<bool>>(false);
    auto future = promise->get_future();
    loop.post([task = std::move(task), promise, hasResult] {
        task([promise, hasResult](Result result) {
            if (!hasResult->exchange(true))
                promise->set_value(std::move(result));
        });
    });
    if (future.wait_for(timeout) != std::future_status::ready)
        return std::nullopt;
    return future.get();
}

/// @return the routes /healthz, /readyz and /metrics
/// @param isReady called on threads of the HTTP server
std::vector<http::http_route> healthRoutes(telemetry::metrics& metrics, std::function<bool()> isReady);

/// @brief Starts the HTTP server of a role.
/// @return the server, or why it could not be started
tl::expected<std::unique_ptr<http::http_server>, std::string> startHttp(
    const settings::settings& settings, std::vector<http::http_route> routes);

inline constexpr int exitOk = 0;
inline constexpr int exitFailure = 1;
inline constexpr int exitBadSettings = 2; ///< also for an invalid command line

} // namespace buckthornrail::app
