/// @file
/// @brief What every role needs: the loop, signals, metrics, health pages, random numbers.
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

/// @brief The boot clock; cores get its values passed in.
inline steady_time steadyNow() { return boot_clock::now(); }

/// @brief Seconds since 1970 by this machine's clock.
std::uint64_t wallSeconds();

/// @brief A random number from the operating system; never 0.
std::uint64_t randomNumber();

/// @brief A random name: 32 hexadecimal digits.
std::string randomId();

/// @brief Calls functions on the loop when SIGTERM or SIGINT, or SIGHUP, comes. Call before any thread is started.
class signal_watch {
public:
    /// @param onReload for SIGHUP; without one it does nothing
    signal_watch(link::event_loop& loop, std::function<void()> onStop, std::function<void()> onReload = {});
    signal_watch(const signal_watch&) = delete;
    signal_watch& operator=(const signal_watch&) = delete;
    ~signal_watch();

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// @brief Runs a function on the loop every period until it is destroyed.
class periodic_task {
public:
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

/// @brief Starts a function on the loop and waits for the result that it gives to its callback.
/// @return nothing when none came in time
template <typename Result>
std::optional<Result> callOnLoop(
    link::event_loop& loop, milliseconds timeout, std::function<void(std::function<void(Result)>)> task)
{
    auto promise = std::make_shared<std::promise<Result>>();
    auto answered = std::make_shared<std::atomic<bool>>(false);
    auto future = promise->get_future();
    loop.post([task = std::move(task), promise, answered] {
        task([promise, answered](Result result) {
            if (!answered->exchange(true))
                promise->set_value(std::move(result));
        });
    });
    if (future.wait_for(timeout) != std::future_status::ready)
        return std::nullopt;
    return future.get();
}

/// @brief Routes /healthz, /readyz and /metrics.
std::vector<http::http_route> healthRoutes(telemetry::metrics& metrics, std::function<bool()> isReady);

/// @brief Starts the HTTP server of a role.
tl::expected<std::unique_ptr<http::http_server>, std::string> startHttp(
    const settings::settings& settings, std::vector<http::http_route> routes);

inline constexpr int exitOk = 0;
inline constexpr int exitFailure = 1;
inline constexpr int exitBadSettings = 2;

} // namespace buckthornrail::app
