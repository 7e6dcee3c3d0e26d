/// @file
/// @brief Choosing a controller that reaches the leader.
#include "app/gateway/gateway_session.hpp"
#include "platform/dialects.hpp"

#include <catch2/catch.hpp>

using namespace buckthornrail;
using namespace buckthornrail::app;

namespace {

/// A controller that responds to each heartbeat, either as confirmed by a quorum or as one that reaches no leader.
class fake_controller {
public:
    fake_controller(link::event_loop& loop, bool serves, const std::string& address = "127.0.0.1:0")
        : m_serves(serves)
        , m_hub(loop,
              link::hub_handlers { [this](link::link_number, bool) { ++m_sessions; }, [](link::link_number) {},
                  [this](link::link_number link, const std::string& bytes) {
                      const auto message = link::decode(bytes);
                      REQUIRE(message);
                      link::gateway_update update;
                      update.isServed = m_serves;
                      update.controllers = m_endpoints;
                      update.othersDemand = m_othersDemand;
                      ++m_heartbeats;
                      m_heartbeatTimes.push_back(boot_clock::now());
                      m_demand = std::get<link::gateway_heartbeat>(*message).demand;
                      m_hub.send(link, link::encode(link::message(update)));
                  } })
        , m_port(m_hub.listen(address))
    {
    }

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    [[nodiscard]] int heartbeats() const { return m_heartbeats; }
    [[nodiscard]] int sessions() const { return m_sessions; }
    /// @return when heartbeats arrived
    [[nodiscard]] const std::vector<steady_time>& heartbeatTimes() const { return m_heartbeatTimes; }
    /// @return the demand in the last heartbeat
    [[nodiscard]] const registry::demand_report& demand() const { return m_demand; }
    /// @brief Sets the demand of other gateways that it reports.
    void setOthersDemand(registry::demand_report demand) { m_othersDemand = std::move(demand); }
    /// @brief Sets whether it reaches a leader.
    void setServes(bool serves) { m_serves = serves; }
    /// @brief Closes its listener and links.
    void stop() { m_hub.stop(); }
    /// @brief Sets the controllers that it reports.
    void setEndpoints(std::vector<link::controller_endpoint> endpoints) { m_endpoints = std::move(endpoints); }

private:
    bool m_serves;
    link::link_hub m_hub;
    std::uint16_t m_port;
    int m_heartbeats = 0;
    int m_sessions = 0;
    std::vector<steady_time> m_heartbeatTimes;
    std::vector<link::controller_endpoint> m_endpoints;
    registry::demand_report m_demand;
    registry::demand_report m_othersDemand;
};

gateway_session_callbacks emptyCallbacks()
{
    gateway_session_callbacks callbacks;
    callbacks.documentChanged = [] {};
    callbacks.targetsChanged = [](const registry::target_view&) {};
    callbacks.openAttempts = [] { return 0U; };
    callbacks.loads = [] { return registry::target_loads(); };
    callbacks.otherLoadsReceived = [](const registry::target_loads&) {};
    callbacks.fillRetries = [](link::gateway_heartbeat&) {};
    callbacks.fillQuarantine = [](link::gateway_heartbeat&, bool) {};
    callbacks.quarantineReceived = [](const link::gateway_update&) {};
    callbacks.takeUnreachableTargets = [] { return std::vector<registry::target_incarnation>(); };
    callbacks.updateReceived = [](const link::gateway_update&) {};
    return callbacks;
}

} // namespace

TEST_CASE(
    "gateway session: it doesn't move back immediately to a lost controller of its own domain", "[gateway_session]")
{
    constexpr milliseconds phaseDuration { 1500 };
    link::event_loop loop;
    fake_controller near(loop, true);
    fake_controller far(loop, true);
    const std::vector<link::controller_endpoint> endpoints { { near.address(), "", "own" },
        { far.address(), "", "other" } };
    near.setEndpoints(endpoints);
    far.setEndpoints(endpoints);
    settings::settings settings;
    settings.id = "gateway";
    settings.failureDomain = "own";
    settings.heartbeatMs = 100;
    settings.controllers = { near.address() };
    gateway_document document(platform::controlDialect());
    gateway_session session(loop, settings, document, emptyCallbacks());
    const auto start = boot_clock::now();
    int nearHeartbeats = 0;
    int farHeartbeats = 0;
    loop.runAt(start + phaseDuration, [&] {
        nearHeartbeats = near.heartbeats();
        farHeartbeats = far.heartbeats();
        near.stop();
    });
    loop.runAt(start + phaseDuration * 2, [&loop] { loop.stop(); });
    loop.run();
    CHECK(nearHeartbeats > 8);
    CHECK(farHeartbeats == 0);
    CHECK(far.heartbeats() > 11); // of 15; an attempt at the stopped one would cost the session and two heartbeats
    CHECK(far.sessions() == 1);
}

TEST_CASE("gateway session: it disconnects soon from controllers without a leader", "[gateway_session]")
{
    // Two rounds with the leader timeout of 150 ms take 1.5 s. With the response timeout of 900 ms, even one round of
    // the five controllers without a leader would take more than four seconds.
    constexpr milliseconds timeout { 2000 };
    link::event_loop loop;
    std::vector<std::unique_ptr<fake_controller>> leaderless;
    settings::settings settings;
    settings.id = "gateway";
    settings.heartbeatMs = 300;
    fake_controller leader(loop, true);
    for (int i = 0; i < 5; ++i) {
        leaderless.push_back(std::make_unique<fake_controller>(loop, false));
        settings.controllers.push_back(leaderless.back()->address());
    }
    settings.controllers.push_back(leader.address());
    bool isServed = false;
    auto callbacks = emptyCallbacks();
    callbacks.updateReceived = [&](const link::gateway_update&) {
        isServed = true;
        loop.stop();
    };
    gateway_document document(platform::controlDialect());
    gateway_session session(loop, settings, document, std::move(callbacks));
    loop.runAt(boot_clock::now() + timeout, [&loop] { loop.stop(); });
    loop.run();
    CHECK(isServed);
    CHECK(leader.heartbeats() > 0);
}

TEST_CASE("gateway session: slices that arrive together are processed one per turn of the loop", "[gateway_session]")
{
    constexpr int routes = 3000;
    link::event_loop loop;
    std::string text = R"({"version":4,"services":[{"name":"s"}],"routes":[)";
    for (int i = 0; i < routes; ++i) {
        text += i == 0 ? "" : ",";
        text += R"({"host":"h","path-prefix":"/)" + std::to_string(i) + R"(/","timeout-ms":9,"service":"s"})";
    }
    const versioned_text published { 4, text + "]}" };
    document_feed feed(platform::controlDialect());
    feed.update(published);
    const auto slices = feed.messagesFrom(0, published);
    REQUIRE(slices.size() > 5);
    std::unique_ptr<link::link_hub> controller;
    controller = std::make_unique<link::link_hub>(loop,
        link::hub_handlers { [](link::link_number, bool) {}, [](link::link_number) {},
            [&](link::link_number link, const std::string&) {
                for (const auto* slice : slices)
                    controller->send(link, *slice);
                link::gateway_update update;
                update.isServed = true;
                controller->send(link, link::encode(link::message(update)));
            } });
    settings::settings settings;
    settings.id = "gateway";
    settings.controllers = { "127.0.0.1:" + std::to_string(controller->listen("127.0.0.1:0")) };
    gateway_document document(platform::controlDialect());
    auto callbacks = emptyCallbacks();
    callbacks.documentChanged = [&loop] { loop.stop(); };
    gateway_session session(loop, settings, document, std::move(callbacks));
    // Other work, always ready, must run between any two slices.
    std::size_t slicesInARow = 0;
    std::size_t maxSlicesInARow = 0;
    std::function<void()> other = [&] {
        slicesInARow = 0;
        loop.post(other);
    };
    loop.post(other);
    loop.reportSlowTasks(
        [&](const link::slow_task& task) {
            slicesInARow += task.name == "document slice" ? 1 : 0;
            maxSlicesInARow = std::max(maxSlicesInARow, slicesInARow);
        },
        milliseconds(0));
    loop.runAt(boot_clock::now() + milliseconds(5000), [&loop] { loop.stop(); });
    loop.run();
    REQUIRE(document.index());
    CHECK(document.index()->routeCount() == routes);
    CHECK(maxSlicesInARow == 1);
}

TEST_CASE("gateway session: it disconnects from a controller that has lost the leader but still responds to heartbeats",
    "[gateway_session]")
{
    link::event_loop loop;
    fake_controller isolated(loop, true);
    fake_controller other(loop, true);
    settings::settings settings;
    settings.id = "gateway";
    settings.heartbeatMs = 100;
    settings.controllers = { isolated.address() };
    isolated.setEndpoints({ { isolated.address(), "", "" }, { other.address(), "", "" } });
    gateway_document document(platform::controlDialect());
    gateway_session session(loop, settings, document, emptyCallbacks());
    const auto start = boot_clock::now();
    loop.runAt(start + milliseconds(500), [&isolated] { isolated.setServes(false); });
    loop.runAt(start + milliseconds(2500), [&loop] { loop.stop(); });
    loop.run();
    CHECK(isolated.heartbeats() > 3);
    CHECK(other.heartbeats() > 5); // from 0.9 s after the last response of the first controller
}

TEST_CASE(
    "gateway session: heartbeats state the gateway's demand, and updates state that of all others", "[gateway_session]")
{
    link::event_loop loop;
    fake_controller controller(loop, true);
    const registry::demand_report others { { "s", 7, { { 0, 1, 2, 3, 4, 5 } } } };
    controller.setOthersDemand(others);
    settings::settings settings;
    settings.id = "gateway";
    settings.controllers = { controller.address() };
    gateway_document document(platform::controlDialect());
    auto callbacks = emptyCallbacks();
    // More services than a message may contain, not in order.
    callbacks.demand = [] {
        registry::demand_report demand;
        for (char name = 'z'; name >= 'a'; --name)
            demand.push_back({ std::string(1, name), 1, {} });
        return demand;
    };
    registry::demand_report received;
    callbacks.othersDemandReceived = [&](const registry::demand_report& demand) {
        received = demand;
        loop.stop();
    };
    gateway_session session(loop, settings, document, std::move(callbacks));
    loop.runAt(boot_clock::now() + milliseconds(2000), [&loop] { loop.stop(); });
    loop.run();
    CHECK(received == others);
    REQUIRE(controller.demand().size() == registry::maxServicesInDemand);
    CHECK(controller.demand().front().service == "a");
}

// Guards against a queue whose demand reaches others only with the next regular heartbeat, and against a heartbeat for
// each queued request.
TEST_CASE("gateway session: while requests wait, it sends a heartbeat every 200 ms", "[gateway_session]")
{
    link::event_loop loop;
    fake_controller controller(loop, true);
    settings::settings settings;
    settings.id = "gateway";
    settings.heartbeatMs = 700; // regular heartbeats are too few for the expected number
    settings.controllers = { controller.address() };
    gateway_document document(platform::controlDialect());
    gateway_session session(loop, settings, document, emptyCallbacks());
    const auto start = boot_clock::now();
    std::function<void()> whileQueued = [&] {
        session.sendHeartbeatWhileWaiting();
        session.sendHeartbeatWhileWaiting();
        loop.runAt(boot_clock::now() + milliseconds(5), whileQueued);
    };
    whileQueued();
    loop.runAt(start + milliseconds(1500), [&loop] { loop.stop(); });
    loop.run();
    const auto& times = controller.heartbeatTimes();
    CHECK(times.size() <= 11); // the first, at most 7 of the waiting requests, and one after each of 2 regular ones
    REQUIRE(times.size() >= 6); // of 9; regular ones alone would be 3
    // Arrival times vary with the machine's load, so the bound is for the sum of two intervals.
    std::size_t shortPairs = 0;
    for (std::size_t i = 2; i < times.size(); ++i)
        shortPairs += between(times[i - 2], times[i]) < milliseconds(200) ? 1 : 0;
    CHECK(shortPairs == 0);
}

// Guards against a dial for each queued request while no controller accepts connections.
TEST_CASE("gateway session: without a session, requests that wait cause no dials", "[gateway_session]")
{
    link::event_loop loop;
    fake_controller controller(loop, true);
    std::unique_ptr<fake_controller> restarted;
    settings::settings settings;
    settings.id = "gateway";
    settings.heartbeatMs = 5000; // regular heartbeats, which dial, begin after the test
    settings.controllers = { controller.address() };
    gateway_document document(platform::controlDialect());
    gateway_session session(loop, settings, document, emptyCallbacks());
    std::function<void()> whileQueued = [&] {
        session.sendHeartbeatWhileWaiting();
        loop.runAt(boot_clock::now() + milliseconds(5), whileQueued);
    };
    whileQueued();
    const auto start = boot_clock::now();
    loop.runAt(start + milliseconds(400), [&controller] { controller.stop(); });
    loop.runAt(start + milliseconds(700),
        [&] { restarted = std::make_unique<fake_controller>(loop, true, controller.address()); });
    loop.runAt(start + milliseconds(1100), [&loop] { loop.stop(); });
    loop.run();
    CHECK(controller.heartbeats() > 1);
    REQUIRE(restarted);
    CHECK(restarted->sessions() == 0);
}
