/// @file
/// @brief Real processes: targets that restart under the same id, and malformed records of other writers.
#include "support/gateway_cluster.hpp"

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

/// A cluster whose targets keep their ids and have all been restarted once.
class restart_cluster : public gateway_cluster {
public:
    explicit restart_cluster(std::size_t gateways = 2)
        : gateway_cluster(gateways)
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
            isServed = isServed && stream.isComplete && stream.body == gateway_cluster::streamBody("/stream/n10", 10);
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
    const auto position = log.rfind(prefix);
    return position == std::string::npos ? 0 : std::stoull(log.substr(position + prefix.size()));
}

} // namespace

TEST_CASE("target restart: its layers are reloaded at once, and streams over it continue", "[target_restart]")
{
    restart_cluster cluster;
    REQUIRE(cluster.startAndRestartTargets());
    std::vector<caller_response> results(8);
    std::vector<std::thread> callers;
    for (std::size_t index = 0; index < results.size(); ++index) {
        callers.emplace_back([&, index] {
            const std::string id = "long-" + std::to_string(index);
            results[index] = cluster.call(cluster.gateways()[index % 2], "POST", "/stream/n200", id, seconds(8));
        });
    }
    std::this_thread::sleep_for(milliseconds(400));
    cluster.fleet().restart(cluster.engines()[1]);
    CHECK(waitUntil([&] { return cluster.hasAllChains(); }, detectionTimeout));
    for (auto& caller : callers)
        caller.join();
    for (const auto& result : results) {
        CHECK(result.status == 200);
        CHECK((result.body == gateway_cluster::streamBody("/stream/n200", 200)));
    }
    CHECK(waitUntil([&] { return cluster.allGatewaysServe(); }, waitTimeout));
}

TEST_CASE("target restart: the previous incarnation was lost or draining", "[target_restart]")
{
    restart_cluster cluster;
    REQUIRE(cluster.startAndRestartTargets());
    const std::size_t lost = cluster.plainTargets()[0];
    const std::size_t leaving = cluster.plainTargets()[1];
    const std::size_t engine = cluster.engines()[0];
    cluster.fleet().kill(lost);
    cluster.fleet().drain(leaving);
    cluster.fleet().drain(engine);
    REQUIRE(waitUntil([&] { return cluster.stateOf(lost) == "lost"; }, waitTimeout));
    REQUIRE(waitUntil([&] { return cluster.stateOf(leaving) == "draining"; }, waitTimeout));
    REQUIRE(waitUntil([&] { return cluster.stateOf(engine) == "draining"; }, waitTimeout));
    for (const auto target : { lost, leaving, engine })
        cluster.fleet().restart(target);
    for (const auto target : { lost, leaving, engine })
        CHECK(waitUntil([&] { return cluster.stateOf(target) == "ready"; }, detectionTimeout));
    CHECK(waitUntil([&] { return cluster.hasAllChains() && cluster.allGatewaysServe(); }, waitTimeout));
}

TEST_CASE("target restart: the previous incarnation had announced that it left", "[target_restart]")
{
    restart_cluster cluster;
    REQUIRE(cluster.startAndRestartTargets());
    const std::size_t target = cluster.plainTargets()[0];
    const std::string id = cluster.fleet().idOf(target);
    const json lastRecord = json::parse(cluster.fleet().announcementOf(target));
    cluster.fleet().kill(target);
    const json leaveRecord { { "born", lastRecord.at("born") } };
    REQUIRE(cluster.sendRecord(cluster.leader(), "DELETE", id, leaveRecord.dump()) == 200);
    CHECK(cluster.stateOf(target) == "gone");
    cluster.fleet().restart(target);
    CHECK(waitUntil([&] { return cluster.stateOf(target) == "ready"; }, detectionTimeout));
    // The previous incarnation's leave record arrives again, late.
    CHECK(cluster.sendRecord(cluster.leader(), "DELETE", id, leaveRecord.dump()) == 200);
    CHECK(cluster.stateOf(target) == "ready");
}

TEST_CASE("target restart: at another address, with another target at the old one", "[target_restart]")
{
    restart_cluster cluster;
    REQUIRE(cluster.startAndRestartTargets());
    const std::size_t moving = cluster.plainTargets()[0];
    const std::string id = cluster.fleet().idOf(moving);
    const json before = json::parse(cluster.fleet().announcementOf(moving));
    cluster.fleet().restartElsewhere(moving);
    const json after = json::parse(cluster.fleet().announcementOf(moving));
    REQUIRE(before.at("address") != after.at("address"));
    json other = before;
    other["born"] = after.at("born").get<std::uint64_t>() + 1;
    REQUIRE(cluster.sendRecord(cluster.leader(), "PUT", "i-other", other.dump()) == 200);
    CHECK(waitUntil([&] { return cluster.targetState(cluster.leader(), "i-other") == "ready"; }, detectionTimeout));
    CHECK(waitUntil([&] { return cluster.stateOf(moving) == "ready"; }, detectionTimeout));
    // A delayed announcement of the previous incarnation.
    CHECK(cluster.sendRecord(cluster.leader(), "PUT", id, before.dump()) == 200);
    json first = before;
    first["seq"] = 1;
    CHECK(cluster.sendRecord(cluster.leader(), "PUT", "i-unknown", first.dump()) == 200);
    std::this_thread::sleep_for(milliseconds(300));
    CHECK(cluster.targetState(cluster.leader(), "i-other") == "ready");
    CHECK(cluster.targetState(cluster.leader(), "i-unknown").empty());
    CHECK(cluster.targetLine(cluster.leader(), id).find(after.at("address").get<std::string>()) != std::string::npos);
}

TEST_CASE("target restart: three times in two seconds, during an election", "[target_restart]")
{
    restart_cluster cluster;
    REQUIRE(cluster.startAndRestartTargets());
    const std::size_t engine = cluster.engines()[2];
    const std::size_t plain = cluster.plainTargets()[0];
    cluster.killHard(cluster.leader());
    for (int round = 0; round < 3; ++round) {
        cluster.fleet().restart(engine);
        cluster.fleet().restart(plain);
        std::this_thread::sleep_for(milliseconds(500));
    }
    CHECK(waitUntil([&] { return !cluster.leader().empty() && cluster.areAllReady(); }, waitTimeout));
    CHECK(waitUntil([&] { return cluster.hasAllChains() && cluster.allGatewaysServe(); }, waitTimeout));
}

TEST_CASE("target restart: an earlier start time is accepted once the previous incarnation is lost", "[target_restart]")
{
    restart_cluster cluster;
    REQUIRE(cluster.startAndRestartTargets());
    const std::size_t target = cluster.plainTargets()[0];
    const std::string id = cluster.fleet().idOf(target);
    json ahead = json::parse(cluster.fleet().announcementOf(target));
    // An incarnation with a start time in the future, at an address where nothing listens.
    ahead["born"] = ahead.at("born").get<std::uint64_t>() + 3'600'000;
    ahead["address"] = "127.0.0.1:9";
    REQUIRE(cluster.sendRecord(cluster.leader(), "PUT", id, ahead.dump()) == 200);
    CHECK(waitUntil([&] { return cluster.targetLine(cluster.leader(), id).find("127.0.0.1:9") != std::string::npos; },
        detectionTimeout));
    // The running incarnation keeps announcing its earlier start time.
    CHECK(waitUntil(
        [&] {
            const std::string line = cluster.targetLine(cluster.leader(), id);
            return line.find("ready") != std::string::npos && line.find("127.0.0.1:9") == std::string::npos;
        },
        waitTimeout));
}

TEST_CASE("target records: malformed ones and those of unknown services add and change no target", "[target_restart]")
{
    restart_cluster cluster;
    REQUIRE(cluster.startAndRestartTargets());
    const std::string leader = cluster.leader();
    const std::string id = cluster.fleet().idOf(cluster.plainTargets()[0]);
    const json good = json::parse(cluster.fleet().announcementOf(cluster.plainTargets()[0]));
    std::vector<std::string> broken { "", "no json", "[]", "null", good.dump().substr(0, 40), "\xff\xfe\x00\x01",
        std::string(100'000, '[') };
    for (const auto* field : { "service", "address", "state" }) {
        json record = good;
        record.erase(field);
        broken.push_back(record.dump());
    }
    const std::vector<json> values { nullptr, 7, -1, 1.5, true, "", "odd", json::array(), json::object() };
    for (const auto* field : { "service", "address", "state", "born", "layers" }) {
        for (const auto& value : values) {
            json record = good;
            record["seq"] = 1'000'000;
            record[field] = value;
            const std::string name = field;
            const bool isPossible = (name == "born" && (value.is_null() || value == 7))
                || (name == "layers" && value.is_null()) || (name == "service" && value == "odd");
            if (!isPossible)
                broken.push_back(record.dump());
        }
    }
    const std::string before = cluster.targetLine(leader, id);
    for (const auto& body : broken) {
        INFO(body.substr(0, 200));
        CHECK(cluster.sendRecord(leader, "PUT", id, body) == 400);
        CHECK(cluster.sendRecord(leader, "PUT", "i-new", body) == 400);
    }
    // Well-formed, but for a service that no document contains, at the address of a target in use.
    json unknownService = good;
    unknownService["service"] = "odd";
    for (const auto* state : { "ready", "draining" }) {
        unknownService["state"] = state;
        CHECK(cluster.sendRecord(leader, "PUT", "i-odd", unknownService.dump()) == 200);
    }
    std::this_thread::sleep_for(milliseconds(300));
    CHECK(cluster.targetState(leader, "i-new").empty());
    CHECK(cluster.targetState(leader, "i-odd").empty());
    CHECK(cluster.targetLine(leader, id) == before);
    CHECK(cluster.areAllReady());
    CHECK(cluster.allGatewaysServe());
    CHECK(cluster.metricsOf(leader).find("records_refused") != std::string::npos);
    CHECK(cluster.logOf(leader).find("E611 record_refused") != std::string::npos);
}

TEST_CASE(
    "target restart: records of two incarnations arrive in any order at different controllers", "[target_restart]")
{
    restart_cluster cluster;
    REQUIRE(cluster.startAndRestartTargets());
    const std::size_t target = cluster.plainTargets()[0];
    const std::string id = cluster.fleet().idOf(target);
    for (int round = 0; round < 6; ++round) {
        json previous = json::parse(cluster.fleet().announcementOf(target));
        cluster.fleet().restart(target);
        const json first = json::parse(cluster.fleet().announcementOf(target));
        // A platform would send these in sequence; here they arrive in any order.
        std::vector<std::thread> writers;
        for (const auto& registry : cluster.registries()) {
            writers.emplace_back([&cluster, &registry, &id, previous, first]() mutable {
                previous["seq"] = 500;
                (void)cluster.sendRecord(registry, "PUT", id, previous.dump());
                (void)cluster.sendRecord(registry, "PUT", id, first.dump());
                previous["state"] = "draining";
                (void)cluster.sendRecord(registry, "PUT", id, previous.dump());
                (void)cluster.sendRecord(registry, "DELETE", id, json { { "born", previous.at("born") } }.dump());
            });
        }
        for (auto& writer : writers)
            writer.join();
        CHECK(waitUntil([&] { return cluster.stateOf(target) == "ready"; }, detectionTimeout));
    }
    std::this_thread::sleep_for(milliseconds(500));
    CHECK(cluster.stateOf(target) == "ready");
    CHECK(cluster.allGatewaysServe());
}

TEST_CASE("target restart: while the log is compacted and a controller restarts from it", "[target_restart]")
{
    constexpr int changes = 130; // the log is compacted every 100 entries
    restart_cluster cluster;
    REQUIRE(cluster.startAndRestartTargets());
    const std::size_t engine = cluster.engines()[0];
    std::uint64_t version = 100;
    for (int change = 0; change < changes; ++change) {
        (void)cluster.publishToAny(++version);
        if (change % 40 == 20)
            cluster.fleet().restart(engine);
    }
    const std::string restarted
        = cluster.registries()[0] == cluster.leader() ? cluster.registries()[1] : cluster.registries()[0];
    REQUIRE(waitUntil([&] { return cluster.hasAllChains() && cluster.areAllReady(); }, waitTimeout));
    // Log lines are written every 100 ms: a process killed earlier loses its last ones.
    const auto waitForLogLine = [&](const std::string& line) {
        return waitUntil([&] { return cluster.logOf(restarted).find(line) != std::string::npos; }, waitTimeout);
    };
    REQUIRE(waitForLogLine("E403 snapshot_saved"));
    cluster.killHard(restarted);
    const auto savedIndex = lastNumberAfter(cluster.logOf(restarted), "E403 snapshot_saved index=");
    cluster.startProcess(restarted);
    const std::string id = cluster.fleet().idOf(engine);
    REQUIRE(waitUntil(
        [&] { return !cluster.leader().empty() && cluster.targetState(restarted, id) == "ready"; }, waitTimeout));
    CHECK(waitUntil(
        [&] { return cluster.targetLine(restarted, id) == cluster.targetLine(cluster.leader(), id); }, waitTimeout));
    // It started from the last snapshot, not from the whole log. A snapshot whose log line was lost may be newer.
    CHECK(savedIndex >= 100);
    const auto openedIndex = [&] { return lastNumberAfter(cluster.logOf(restarted), "E407 log_opened snapshot="); };
    CHECK(waitUntil([&] { return openedIndex() >= savedIndex; }, waitTimeout));
    CHECK(waitUntil([&] { return cluster.allGatewaysServe(); }, waitTimeout));
}

TEST_CASE("target restart: while a gateway is paused", "[target_restart]")
{
    restart_cluster cluster;
    REQUIRE(cluster.startAndRestartTargets());
    const std::string paused = cluster.gateways()[0];
    cluster.signal(paused, SIGSTOP);
    for (int round = 0; round < 2; ++round) {
        cluster.fleet().restart(cluster.engines()[0]);
        cluster.fleet().restart(cluster.plainTargets()[0]);
        std::this_thread::sleep_for(milliseconds(1200));
    }
    cluster.signal(paused, SIGCONT);
    CHECK(waitUntil(
        [&] { return cluster.hasAllChains() && cluster.areAllReady() && cluster.allGatewaysServe(); }, waitTimeout));
    const auto stream = cluster.call(paused, "POST", "/stream/n20", "after");
    CHECK((stream.body == gateway_cluster::streamBody("/stream/n20", 20)));
}
