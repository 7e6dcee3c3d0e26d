/// @file
/// @brief A table of many targets before real processes.
///
/// Seen: with 3,000 targets and 294 gateways no request was served. The leader was busy at all times, gateways left it
/// after 0.9 s of silence and came back, 33,000 sessions in 33 s, and the first document was never acknowledged. How:
/// each session that began was told the whole table, 800 KB, which was put together and encoded anew for each
/// gateway: four seconds of the leader's processor for all of them, during which it answered nobody.
/// Cause: the same work for each receiver, repeated for those who had not waited for it.
/// Proof: in a profile of the leader 303 of 305 samples lay in the encoding of updates for gateways.
#include "buckthornrail/net/http_service.hpp"
#include "support/gateway_world.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <thread>

using namespace test_support;
using namespace buckthornrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds patience { 15 };

/// Targets that only answer when they are asked whether they live, each at an address of its own on the loopback
/// network.
class quiet_targets {
public:
    quiet_targets()
        : m_service(m_loop,
            [](const net::whole_request&, const net::responder& respond) {
                respond(net::plainResponse(200, "{}", "application/json"));
            })
        , m_port(m_service.listen("0.0.0.0:0"))
        , m_thread([this] { m_loop.run(); })
    {
    }
    quiet_targets(const quiet_targets&) = delete;
    quiet_targets& operator=(const quiet_targets&) = delete;
    ~quiet_targets()
    {
        m_loop.stop();
        m_thread.join();
    }

    /// @brief Announces one of them. @return the status
    int announce(gateway_world& world, const std::string& registry, int number) const
    {
        const std::string address = "127.1." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1);
        const nlohmann::json record { { "service", "app" }, { "address", address + ":" + std::to_string(m_port) },
            { "zone", "d1" }, { "version", "v1" }, { "slots", 4 }, { "state", "ready" }, { "seq", 1 } };
        return world.sendRecord(registry, "PUT", "i-quiet-" + std::to_string(number), record.dump());
    }

private:
    link::event_loop m_loop;
    net::http_service m_service;
    std::uint16_t m_port;
    std::thread m_thread;
};

double metricOf(gateway_world& world, const std::string& registry, const std::string& name)
{
    const std::string text = world.metricsOf(registry);
    const std::string mark = "\nbuckthornrail_" + name + " ";
    const auto at = text.find(mark);
    return at == std::string::npos ? -1 : std::stod(text.substr(at + mark.size()));
}

} // namespace

TEST_CASE("large table: a gateway that comes back costs its leader little", "[large_table]")
{
    constexpr int count = 1000;
    constexpr double bytesOfAll = count * 260.0; // measured: a record takes so much of a message
    gateway_world world(2);
    REQUIRE(world.start());
    const quiet_targets targets;
    const std::string leader = world.leader();
    for (int number = 0; number < count; ++number)
        REQUIRE(targets.announce(world, leader, number) == 200);
    const std::string gateway = world.gateways()[0];
    const double before = metricOf(world, leader, "link_bytes_sent");
    world.killHard(gateway);
    world.startProcess(gateway);
    REQUIRE(waitUntil([&] { return world.readyStatus(gateway) == 200; }, patience));
    std::this_thread::sleep_for(milliseconds(300)); // the gauge is set each 50 ms
    REQUIRE(world.leader() == leader);
    CHECK(metricOf(world, leader, "link_bytes_sent") - before < bytesOfAll / 3);
}
