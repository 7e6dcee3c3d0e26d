/// @file
/// @brief Real processes: targets that restart under the same id, and malformed records of other writers.
#include "support/gateway_world.hpp"

#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <thread>

using namespace test_support;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds waitTimeout { 10 };
/// Restarts must be detected within this time: before a lease of 1 s expires, with heartbeats every 0.2 s and a load
/// time of 30 ms.
constexpr milliseconds detectionTimeout { 900 };

/// A world whose targets keep their ids and have all been restarted once.
class restart_world : public gateway_world {
public:
    explicit restart_world(std::size_t gateways = 2)
        : gateway_world(gateways)
    {
    }

    bool startAndRestartTargets()
    {
        if (!start())
            return false;
        fleet().keepIds();
        for (const auto* kind : { &engines(), &plainTargets() }) {
            for (const auto target : *kind)
                fleet().restart(target);
        }
        return waitUntil([this] { return areAllReady() && hasAllChains() && allGatewaysServe(); }, waitTimeout);
    }

    std::string stateOf(std::size_t target) { return targetState(leader(), fleet().idOf(target)); }

    bool hasAllChains() { return fleet().hasChain("d1") && fleet().hasChain("d2") && fleet().hasChain("d3"); }

    bool areAllReady()
    {
        for (const auto* kind : { &engines(), &plainTargets() }) {
            for (const auto target : *kind) {
                if (stateOf(target) != "ready")
                    return false;
            }
        }
        return true;
    }

    /// @return whether each gateway serves a stream and a plain request without a retry by the caller
    bool allGatewaysServe()
    {
        bool isServed = true;
        for (const auto& gateway : gateways()) {
            const auto number = std::to_string(++m_calls);
            const auto stream = call(gateway, "POST", "/stream/n10", "s-" + number);
            isServed = isServed && stream.isComplete && stream.body == gateway_world::streamBody("/stream/n10", 10);
            isServed = isServed && call(gateway, "GET", "/safe/x", "p-" + number).status == 200;
        }
        return isServed;
    }

private:
    int m_calls = 0;
};

/// @return the number after the last occurrence of a prefix in a log; 0: there is none
std::uint64_t lastNumberAfter(const std::string& log, const std::string& prefix)
{
    const auto at = log.rfind(prefix);
    return at == std::string::npos ? 0 : std::stoull(log.substr(at + prefix.size()));
}

} // namespace

TEST_CASE("target restart: its layers are reloaded at once, and streams over it continue", "[target_restart]")
{
    restart_world world;
    REQUIRE(world.startAndRestartTargets());
    std::vector<caller_response> results(8);
    std::vector<std::thread> callers;
    for (std::size_t at = 0; at < results.size(); ++at) {
        callers.emplace_back([&, at] {
            const std::string id = "long-" + std::to_string(at);
            results[at] = world.call(world.gateways()[at % 2], "POST", "/stream/n200", id, seconds(8));
        });
    }
    std::this_thread::sleep_for(milliseconds(400));
    world.fleet().restart(world.engines()[1]);
    CHECK(waitUntil([&] { return world.hasAllChains(); }, detectionTimeout));
    for (auto& caller : callers)
        caller.join();
    for (const auto& result : results) {
        CHECK(result.status == 200);
        CHECK((result.body == gateway_world::streamBody("/stream/n200", 200)));
    }
    CHECK(waitUntil([&] { return world.allGatewaysServe(); }, waitTimeout));
}

TEST_CASE("target restart: the previous incarnation was lost or draining", "[target_restart]")
{
    restart_world world;
    REQUIRE(world.startAndRestartTargets());
    const std::size_t lost = world.plainTargets()[0];
    const std::size_t leaving = world.plainTargets()[1];
    const std::size_t engine = world.engines()[0];
    world.fleet().kill(lost);
    world.fleet().drain(leaving);
    world.fleet().drain(engine);
    REQUIRE(waitUntil([&] { return world.stateOf(lost) == "lost"; }, waitTimeout));
    REQUIRE(waitUntil([&] { return world.stateOf(leaving) == "draining"; }, waitTimeout));
    REQUIRE(waitUntil([&] { return world.stateOf(engine) == "draining"; }, waitTimeout));
    for (const auto target : { lost, leaving, engine })
        world.fleet().restart(target);
    for (const auto target : { lost, leaving, engine })
        CHECK(waitUntil([&] { return world.stateOf(target) == "ready"; }, detectionTimeout));
    CHECK(waitUntil([&] { return world.hasAllChains() && world.allGatewaysServe(); }, waitTimeout));
}

TEST_CASE("target restart: the previous incarnation had announced that it left", "[target_restart]")
{
    restart_world world;
    REQUIRE(world.startAndRestartTargets());
    const std::size_t target = world.plainTargets()[0];
    const std::string id = world.fleet().idOf(target);
    const json lastRecord = json::parse(world.fleet().announcementOf(target));
    world.fleet().kill(target);
    const json leaveRecord { { "born", lastRecord.at("born") } };
    REQUIRE(world.sendRecord(world.leader(), "DELETE", id, leaveRecord.dump()) == 200);
    CHECK(world.stateOf(target) == "gone");
    world.fleet().restart(target);
    CHECK(waitUntil([&] { return world.stateOf(target) == "ready"; }, detectionTimeout));
    // The previous incarnation's leave record arrives again, late.
    CHECK(world.sendRecord(world.leader(), "DELETE", id, leaveRecord.dump()) == 200);
    CHECK(world.stateOf(target) == "ready");
}

TEST_CASE("target restart: at another address, with another target at the old one", "[target_restart]")
{
    restart_world world;
    REQUIRE(world.startAndRestartTargets());
    const std::size_t moving = world.plainTargets()[0];
    const std::string id = world.fleet().idOf(moving);
    const json before = json::parse(world.fleet().announcementOf(moving));
    world.fleet().restartElsewhere(moving);
    const json after = json::parse(world.fleet().announcementOf(moving));
    REQUIRE(before.at("address") != after.at("address"));
    json other = before;
    other["born"] = after.at("born").get<std::uint64_t>() + 1;
    REQUIRE(world.sendRecord(world.leader(), "PUT", "i-other", other.dump()) == 200);
    CHECK(waitUntil([&] { return world.targetState(world.leader(), "i-other") == "ready"; }, detectionTimeout));
    CHECK(waitUntil([&] { return world.stateOf(moving) == "ready"; }, detectionTimeout));
    // A delayed announcement of the previous incarnation.
    CHECK(world.sendRecord(world.leader(), "PUT", id, before.dump()) == 200);
    json first = before;
    first["seq"] = 1;
    CHECK(world.sendRecord(world.leader(), "PUT", "i-unknown", first.dump()) == 200);
    std::this_thread::sleep_for(milliseconds(300));
    CHECK(world.targetState(world.leader(), "i-other") == "ready");
    CHECK(world.targetState(world.leader(), "i-unknown").empty());
    CHECK(world.targetLine(world.leader(), id).find(after.at("address").get<std::string>()) != std::string::npos);
}

TEST_CASE("target restart: three times in two seconds, during an election", "[target_restart]")
{
    restart_world world;
    REQUIRE(world.startAndRestartTargets());
    const std::size_t engine = world.engines()[2];
    const std::size_t plain = world.plainTargets()[0];
    world.killHard(world.leader());
    for (int round = 0; round < 3; ++round) {
        world.fleet().restart(engine);
        world.fleet().restart(plain);
        std::this_thread::sleep_for(milliseconds(500));
    }
    CHECK(waitUntil([&] { return !world.leader().empty() && world.areAllReady(); }, waitTimeout));
    CHECK(waitUntil([&] { return world.hasAllChains() && world.allGatewaysServe(); }, waitTimeout));
}

TEST_CASE("target restart: an earlier start time is accepted once the previous incarnation is lost", "[target_restart]")
{
    restart_world world;
    REQUIRE(world.startAndRestartTargets());
    const std::size_t target = world.plainTargets()[0];
    const std::string id = world.fleet().idOf(target);
    json ahead = json::parse(world.fleet().announcementOf(target));
    // An incarnation with a start time in the future, at an address where nothing listens.
    ahead["born"] = ahead.at("born").get<std::uint64_t>() + 3'600'000;
    ahead["address"] = "127.0.0.1:9";
    REQUIRE(world.sendRecord(world.leader(), "PUT", id, ahead.dump()) == 200);
    CHECK(waitUntil([&] { return world.targetLine(world.leader(), id).find("127.0.0.1:9") != std::string::npos; },
        detectionTimeout));
    // The running incarnation keeps announcing its earlier start time.
    CHECK(waitUntil(
        [&] {
            const std::string line = world.targetLine(world.leader(), id);
            return line.find("ready") != std::string::npos && line.find("127.0.0.1:9") == std::string::npos;
        },
        waitTimeout));
}

TEST_CASE("target records: malformed ones and those of unknown services add and change no target", "[target_restart]")
{
    restart_world world;
    REQUIRE(world.startAndRestartTargets());
    const std::string leader = world.leader();
    const std::string id = world.fleet().idOf(world.plainTargets()[0]);
    const json good = json::parse(world.fleet().announcementOf(world.plainTargets()[0]));
    std::vector<std::string> broken { "", "no json", "[]", "null", good.dump().substr(0, 40), "\xff\xfe\x00\x01",
        std::string(100'000, '[') };
    for (const auto* field : { "service", "address", "state" }) {
        json one = good;
        one.erase(field);
        broken.push_back(one.dump());
    }
    const std::vector<json> values { nullptr, 7, -1, 1.5, true, "", "odd", json::array(), json::object() };
    for (const auto* field : { "service", "address", "state", "born", "layers" }) {
        for (const auto& value : values) {
            json one = good;
            one["seq"] = 1'000'000;
            one[field] = value;
            const std::string name = field;
            const bool isPossible = (name == "born" && (value.is_null() || value == 7))
                || (name == "layers" && value.is_null()) || (name == "service" && value == "odd");
            if (!isPossible)
                broken.push_back(one.dump());
        }
    }
    const std::string before = world.targetLine(leader, id);
    for (const auto& body : broken) {
        INFO(body.substr(0, 200));
        CHECK(world.sendRecord(leader, "PUT", id, body) == 400);
        CHECK(world.sendRecord(leader, "PUT", "i-new", body) == 400);
    }
    // Well-formed, but for a service that no document contains, at the address of a target in use.
    json unknownService = good;
    unknownService["service"] = "odd";
    for (const auto* state : { "ready", "draining" }) {
        unknownService["state"] = state;
        CHECK(world.sendRecord(leader, "PUT", "i-odd", unknownService.dump()) == 200);
    }
    std::this_thread::sleep_for(milliseconds(300));
    CHECK(world.targetState(leader, "i-new").empty());
    CHECK(world.targetState(leader, "i-odd").empty());
    CHECK(world.targetLine(leader, id) == before);
    CHECK(world.areAllReady());
    CHECK(world.allGatewaysServe());
    CHECK(world.metricsOf(leader).find("records_refused") != std::string::npos);
    CHECK(world.logOf(leader).find("E611 record_refused") != std::string::npos);
}

TEST_CASE(
    "target restart: records of two incarnations arrive in any order at different controllers", "[target_restart]")
{
    restart_world world;
    REQUIRE(world.startAndRestartTargets());
    const std::size_t target = world.plainTargets()[0];
    const std::string id = world.fleet().idOf(target);
    for (int round = 0; round < 6; ++round) {
        json previous = json::parse(world.fleet().announcementOf(target));
        world.fleet().restart(target);
        const json first = json::parse(world.fleet().announcementOf(target));
        // A platform would send these in sequence; here they arrive in any order.
        std::vector<std::thread> writers;
        for (const auto& registry : world.registries()) {
            writers.emplace_back([&world, &registry, &id, previous, first]() mutable {
                previous["seq"] = 500;
                (void)world.sendRecord(registry, "PUT", id, previous.dump());
                (void)world.sendRecord(registry, "PUT", id, first.dump());
                previous["state"] = "draining";
                (void)world.sendRecord(registry, "PUT", id, previous.dump());
                (void)world.sendRecord(registry, "DELETE", id, json { { "born", previous.at("born") } }.dump());
            });
        }
        for (auto& writer : writers)
            writer.join();
        CHECK(waitUntil([&] { return world.stateOf(target) == "ready"; }, detectionTimeout));
    }
    std::this_thread::sleep_for(milliseconds(500));
    CHECK(world.stateOf(target) == "ready");
    CHECK(world.allGatewaysServe());
}

TEST_CASE("target restart: while the log is compacted and a controller restarts from it", "[target_restart]")
{
    constexpr int changes = 130; // the log is compacted every 100 entries
    restart_world world;
    REQUIRE(world.startAndRestartTargets());
    const std::size_t engine = world.engines()[0];
    std::uint64_t version = 100;
    for (int at = 0; at < changes; ++at) {
        (void)world.publishToAny(++version);
        if (at % 40 == 20)
            world.fleet().restart(engine);
    }
    const std::string restarted
        = world.registries()[0] == world.leader() ? world.registries()[1] : world.registries()[0];
    REQUIRE(waitUntil([&] { return world.hasAllChains() && world.areAllReady(); }, waitTimeout));
    // Log lines are written every 100 ms: a process killed earlier loses its last ones.
    const auto waitForLogLine = [&](const std::string& line) {
        return waitUntil([&] { return world.logOf(restarted).find(line) != std::string::npos; }, waitTimeout);
    };
    REQUIRE(waitForLogLine("E403 snapshot_saved"));
    world.killHard(restarted);
    const auto savedIndex = lastNumberAfter(world.logOf(restarted), "E403 snapshot_saved index=");
    world.startProcess(restarted);
    const std::string id = world.fleet().idOf(engine);
    REQUIRE(
        waitUntil([&] { return !world.leader().empty() && world.targetState(restarted, id) == "ready"; }, waitTimeout));
    CHECK(waitUntil(
        [&] { return world.targetLine(restarted, id) == world.targetLine(world.leader(), id); }, waitTimeout));
    // It started from the last snapshot, not from the whole log. A snapshot whose log line was lost may be newer.
    CHECK(savedIndex >= 100);
    const auto openedIndex = [&] { return lastNumberAfter(world.logOf(restarted), "E407 log_opened snapshot="); };
    CHECK(waitUntil([&] { return openedIndex() >= savedIndex; }, waitTimeout));
    CHECK(waitUntil([&] { return world.allGatewaysServe(); }, waitTimeout));
}

TEST_CASE("target restart: while a gateway is stopped", "[target_restart]")
{
    restart_world world;
    REQUIRE(world.startAndRestartTargets());
    const std::string stopped = world.gateways()[0];
    world.signal(stopped, SIGSTOP);
    for (int round = 0; round < 2; ++round) {
        world.fleet().restart(world.engines()[0]);
        world.fleet().restart(world.plainTargets()[0]);
        std::this_thread::sleep_for(milliseconds(1200));
    }
    world.signal(stopped, SIGCONT);
    CHECK(waitUntil(
        [&] { return world.hasAllChains() && world.areAllReady() && world.allGatewaysServe(); }, waitTimeout));
    const auto stream = world.call(stopped, "POST", "/stream/n20", "after");
    CHECK((stream.body == gateway_world::streamBody("/stream/n20", 20)));
}
