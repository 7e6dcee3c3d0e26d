/// @file
/// @brief Real processes: the first update of a gateway session with a table of many targets.
///
/// Guards against a leader that is overloaded by new sessions: it encoded the whole table of 3,000 targets (800 KB)
/// again for each of 294 gateways, which took four seconds in which it sent no response. Gateways disconnected after
/// 0.9 s of silence and reconnected, 33,000 sessions in 33 s, and no request was served.
#include "buckthornrail/link/link_hub.hpp"
#include "buckthornrail/link/message.hpp"
#include "buckthornrail/net/http_service.hpp"
#include "support/gateway_cluster.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <thread>

using namespace test_support;
using namespace buckthornrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds waitTimeout { 15 };

/// Targets that only answer health checks, each at its own address on the loopback network.
class health_check_targets {
public:
    health_check_targets()
        : m_service(m_loop,
            [](const net::whole_request&, const net::responder& respond) {
                respond(net::plainResponse(200, "{}", "application/json"));
            })
        , m_port(m_service.listen("0.0.0.0:0"))
        , m_thread([this] { m_loop.run(); })
    {
    }
    health_check_targets(const health_check_targets&) = delete;
    health_check_targets& operator=(const health_check_targets&) = delete;
    ~health_check_targets()
    {
        m_loop.stop();
        m_thread.join();
    }

    /// @brief Announces one of the targets. @return the HTTP status
    int announce(gateway_cluster& cluster, const std::string& registry, int number) const
    {
        const std::string address = "127.1." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1);
        const nlohmann::json record { { "service", "app" }, { "address", address + ":" + std::to_string(m_port) },
            { "zone", "d1" }, { "version", "v1" }, { "slots", 4 }, { "state", "ready" }, { "seq", 1 } };
        return cluster.sendRecord(registry, "PUT", "i-quiet-" + std::to_string(number), record.dump());
    }

private:
    link::event_loop m_loop;
    net::http_service m_service;
    std::uint16_t m_port;
    std::thread m_thread;
};

/// @return size in bytes of the first update for a gateway that has no version yet; 0: it got none
std::size_t firstUpdateSize(const std::string& registryLink)
{
    std::size_t bytes = 0;
    link::event_loop loop;
    std::unique_ptr<link::link_hub> hub;
    const auto onConnected = [&hub](link::link_number linkNumber, bool) {
        link::gateway_heartbeat heartbeat;
        heartbeat.instance = "gateway-blank";
        heartbeat.sequence = 1;
        hub->send(linkNumber, link::encode(link::message(heartbeat)));
    };
    const auto onReceived = [&](link::link_number, const std::string& received) {
        const auto message = link::decode(received);
        const auto* update = message ? std::get_if<link::gateway_update>(&*message) : nullptr;
        if (update == nullptr || !update->isServed)
            return;
        bytes = received.size();
        loop.stop();
    };
    hub = std::make_unique<link::link_hub>(
        loop, link::hub_handlers { onConnected, [&loop](link::link_number) { loop.stop(); }, onReceived });
    hub->dial(registryLink);
    loop.runAt(buckthornrail::boot_clock::now() + waitTimeout, [&loop] { loop.stop(); });
    loop.run();
    return bytes;
}

} // namespace

TEST_CASE("large table: the first update of a gateway session is much smaller than the table", "[large_table]")
{
    constexpr int count = 1000;
    constexpr std::size_t uncompressedBytes = count * 150; // an uncompressed record takes 150 bytes of a message
    gateway_cluster cluster(1);
    REQUIRE(cluster.start());
    const health_check_targets targets;
    const std::string leader = cluster.leader();
    for (int number = 0; number < count; ++number)
        REQUIRE(targets.announce(cluster, leader, number) == 200);
    REQUIRE(waitUntil(
        [&] { return !cluster.targetState(leader, "i-quiet-" + std::to_string(count - 1)).empty(); }, waitTimeout));
    const std::size_t bytes = firstUpdateSize(cluster.linkRelay(leader).address());
    CHECK(bytes > 0);
    CHECK(bytes < uncompressedBytes / 4);
}
