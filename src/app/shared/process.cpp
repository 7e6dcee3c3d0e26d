/// @file
/// @brief Signal handling, timers and health endpoints.
#include "app/shared/process.hpp"

#include <array>
#include <csignal>
#include <cstdio>
#include <pthread.h>
#include <random>
#include <thread>

namespace buckthornrail::app {

std::uint64_t wallSeconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::seconds>(sinceEpoch).count());
}

std::uint64_t randomNumber()
{
    std::random_device device;
    std::uniform_int_distribution<std::uint64_t> draw(1);
    return draw(device);
}

std::string randomId()
{
    std::array<char, 33> text {};
    std::snprintf(text.data(), text.size(), "%016lx%016lx", randomNumber(), randomNumber());
    return text.data();
}

struct signal_watch::implementation {
    std::thread thread;
};

signal_watch::signal_watch(link::event_loop& loop, std::function<void()> onStop, std::function<void()> onReload)
    : m_implementation(std::make_unique<implementation>())
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    sigaddset(&set, SIGUSR1); // sent by the destructor to end the thread
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    m_implementation->thread = std::thread([&loop, set, onStop = std::move(onStop), onReload = std::move(onReload)] {
        while (true) {
            int signal = 0;
            if (sigwait(&set, &signal) != 0 || signal == SIGUSR1)
                return;
            if (signal != SIGHUP)
                loop.post(onStop);
            else if (onReload)
                loop.post(onReload);
        }
    });
}

signal_watch::~signal_watch()
{
    pthread_kill(m_implementation->thread.native_handle(), SIGUSR1);
    m_implementation->thread.join();
}

periodic_task::periodic_task(link::event_loop& loop, milliseconds period, std::function<void()> task)
    : m_loop(loop)
    , m_period(period)
    , m_task(std::move(task))
{
    schedule();
}

void periodic_task::schedule()
{
    const std::weak_ptr<int> alive = m_alive;
    m_loop.runAt(steadyNow() + m_period, [this, alive] {
        if (alive.expired())
            return;
        m_task();
        if (!alive.expired())
            schedule();
    });
}

std::vector<http::http_route> healthRoutes(telemetry::metrics& metrics, std::function<bool()> isReady)
{
    const std::vector<http::header_field> plain { { "Content-Type", "text/plain" } };
    return {
        { "/healthz", [plain](const auto&, auto& exchange) { exchange.respond(200, plain, "ok\n"); } },
        { "/readyz",
            [plain, isReady = std::move(isReady)](const auto&, auto& exchange) {
                const bool ready = isReady();
                exchange.respond(ready ? 200 : 503, plain, ready ? "ready\n" : "not ready\n");
            } },
        { "/metrics",
            [plain, &metrics](const auto&, auto& exchange) { exchange.respond(200, plain, metrics.text()); } },
    };
}

tl::expected<std::unique_ptr<http::http_server>, std::string> startHttp(
    const settings::settings& settings, std::vector<http::http_route> routes)
{
    http::server_options options;
    options.address = settings.httpAddress;
    options.threads = settings.httpThreads;
    options.bodyTimeoutMs = settings.bodyTimeoutMs;
    options.maxBodyBytes = settings.maxBodyBytes;
    return http::http_server::start(options, std::move(routes));
}

} // namespace buckthornrail::app
