/// @file
/// @brief Tests of the guarantees with real processes: SIGKILL, SIGSTOP, SIGTERM, lost disks, links that stall while
/// they stay open, and concurrent configuration changes.
#include "support/cluster.hpp"

#include <catch2/catch.hpp>
#include <csignal>

using namespace test_support;
using buckthornrail::ran_state;
using buckthornrail::result_code;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using timed_records = std::vector<std::pair<std::chrono::steady_clock::time_point, caller_record>>;

std::vector<caller_record> recordsOf(const timed_records& timed)
{
    std::vector<caller_record> records;
    for (const auto& [when, record] : timed)
        records.push_back(record);
    return records;
}

std::string violationsOf(const cluster& system, const std::vector<caller_record>& callers)
{
    std::string text;
    const auto executions = system.executions();
    for (const auto& part : { checkResponses(callers), checkNotExecuted(callers, executions),
             checkKeysRunOnce(executions), checkAttempts(executions) }) {
        for (const auto& line : part)
            text += line + "\n";
    }
    return text;
}

/// @return the number of failed requests by result code
std::string failureCounts(const std::vector<caller_record>& callers)
{
    std::map<std::string, int> counts;
    for (const auto& caller : callers) {
        if (!caller.hasResponse || caller.code != result_code::Ok)
            ++counts[caller.hasResponse ? std::string(buckthornrail::describe(caller.code).name) : "no response"];
    }
    std::string text;
    for (const auto& [name, count] : counts)
        text += name + " " + std::to_string(count) + " ";
    return text;
}

/// @return a function that sends streamed and plain requests through the given entries
std::function<caller_record(std::size_t, std::size_t)> traffic(const cluster& system, std::vector<std::string> entries)
{
    return [&system, entries = std::move(entries)](std::size_t thread, std::size_t number) {
        const std::string prompt = "essay " + std::to_string(thread) + "-" + std::to_string(number);
        return system.complete(entries[thread % entries.size()], prompt, 6, thread % 2 == 0);
    };
}

std::uint64_t configurationVersion(const cluster& system)
{
    const auto response = system.callControllers("GET", "/v1/config");
    return response.status == 200 ? response.body["version"].get<std::uint64_t>() : 0;
}

cluster_spec twoTargets()
{
    cluster_spec spec;
    spec.targets = { { "openai" }, { "kserve" } };
    return spec;
}

} // namespace

TEST_CASE("processes: no request fails when the leader is killed, and changes are still accepted", "[process]")
{
    cluster system(twoTargets());
    background_callers callers(4, traffic(system, { "entry-0", "entry-1" }));
    std::this_thread::sleep_for(milliseconds(500));
    const std::string old = system.leader();
    REQUIRE_FALSE(old.empty());
    system.killHard(old);
    json document = cluster::standardDocument();
    document["workspaces"]["w3"] = json::object();
    CHECK(waitUntil([&] { return system.putConfiguration(document, 1, "after-kill").status == 200; }, seconds(15)));
    std::this_thread::sleep_for(seconds(2));
    const auto records = recordsOf(callers.stop());
    CHECK(failureCounts(records) == "");
    CHECK(violationsOf(system, records) == "");
    CHECK(records.size() > 20);
    CHECK(configurationVersion(system) == 2);
}

TEST_CASE("processes: no request fails when a sidecar and a target are killed while they serve requests", "[process]")
{
    cluster_spec spec = twoTargets();
    spec.targets.push_back({ "openai" });
    cluster system(spec);
    background_callers callers(6, traffic(system, { "entry-0", "entry-1" }));
    std::this_thread::sleep_for(milliseconds(600));
    system.killHard("sidecar-0");
    std::this_thread::sleep_for(milliseconds(600));
    system.killHard("target-1");
    std::this_thread::sleep_for(milliseconds(600));
    system.start("sidecar-0");
    std::this_thread::sleep_for(seconds(2));
    const auto records = recordsOf(callers.stop());
    CHECK(failureCounts(records) == "");
    CHECK(violationsOf(system, records) == "");
}

TEST_CASE("processes: SIGTERM of an entry and of a sidecar aborts no request", "[process]")
{
    cluster_spec spec = twoTargets();
    spec.targets[0].tokenMs = 60;
    spec.targets[1].tokenMs = 60;
    cluster system(spec);
    // Like a load balancer, callers use an entry only while it is ready.
    background_callers callers(4, [&](std::size_t thread, std::size_t number) {
        const bool first = thread % 2 == 0 && system.isReady("entry-0");
        const std::string prompt = "p" + std::to_string(thread) + "-" + std::to_string(number);
        return system.complete(first ? "entry-0" : "entry-1", prompt, 6, thread < 2);
    });
    std::this_thread::sleep_for(milliseconds(500));
    system.signal("entry-0", SIGTERM);
    system.signal("sidecar-0", SIGTERM);
    CHECK(system.waitForExit("entry-0", seconds(10)) == 0);
    CHECK(system.waitForExit("sidecar-0", seconds(10)) == 0);
    const auto ran = system.executions();
    std::this_thread::sleep_for(seconds(1));
    const auto records = recordsOf(callers.stop());
    CHECK(failureCounts(records) == "");
    CHECK(violationsOf(system, records) == "");
    const auto after = system.executions();
    for (std::size_t index = ran.size(); index < after.size(); ++index)
        CHECK(after[index].target != "target-0");
}

TEST_CASE("processes: a draining target gets no new requests after two seconds", "[process]")
{
    cluster system(twoTargets());
    CHECK(system.callControllers("POST", "/v1/instances/sidecar-0/drain").status == 200);
    CHECK(system.callControllers("POST", "/v1/instances/nobody/drain").status == 404);
    std::this_thread::sleep_for(seconds(2));
    const auto before = system.executions().size();
    for (int number = 0; number < 20; ++number)
        CHECK(system.complete("entry-0", "p" + std::to_string(number), 1).code == result_code::Ok);
    const auto after = system.executions();
    CHECK(after.size() == before + 20);
    for (std::size_t index = before; index < after.size(); ++index)
        CHECK(after[index].target == "target-1");
    CHECK(system.callControllers("POST", "/v1/instances/sidecar-0/undrain").status == 200);
}

TEST_CASE("processes: a sidecar paused past its lease violates nothing when it resumes", "[process]")
{
    cluster system(twoTargets());
    background_callers callers(4, traffic(system, { "entry-0", "entry-1" }));
    std::this_thread::sleep_for(milliseconds(500));
    system.signal("sidecar-0", SIGSTOP);
    std::this_thread::sleep_for(seconds(4));
    system.signal("sidecar-0", SIGCONT);
    std::this_thread::sleep_for(seconds(2));
    const auto records = recordsOf(callers.stop());
    CHECK(failureCounts(records) == "");
    CHECK(violationsOf(system, records) == "");
    CHECK(waitUntil([&] { return system.isReady("sidecar-0"); }, seconds(10)));
}

TEST_CASE("processes: a paused leader never returns the old configuration when it resumes", "[process]")
{
    cluster system(twoTargets());
    const std::string old = system.leader();
    system.signal(old, SIGSTOP);
    json document = cluster::standardDocument();
    document["workspaces"]["w3"] = json::object();
    const std::string other = old == "controller-0" ? "controller-1" : "controller-0";
    const json change = { { "base", 1 }, { "change_id", "c2" }, { "author", "t" }, { "document", document } };
    CHECK(waitUntil([&] { return system.call(other, "PUT", "/v1/config", change.dump()).status == 200; }, seconds(20)));
    system.signal(old, SIGCONT);
    for (int round = 0; round < 20; ++round) {
        const auto response = system.call(old, "GET", "/v1/config");
        if (response.status == 200)
            CHECK(response.body["version"] == 2);
        std::this_thread::sleep_for(milliseconds(50));
    }
    CHECK(waitUntil([&] { return system.call(old, "GET", "/v1/config").status == 200; }, seconds(10)));
}

TEST_CASE("processes: a restarted entry accepts no configuration from controllers without a quorum", "[process]")
{
    cluster system(twoTargets());
    system.killHard("entry-1");
    system.signal("controller-1", SIGSTOP);
    system.signal("controller-2", SIGSTOP);
    system.start("entry-1");
    CHECK_FALSE(waitUntil([&] { return system.isReady("entry-1"); }, seconds(4)));
    // The lease of the running entry has expired too: it responds "not run" and names a retry time.
    const auto refused = system.call(
        "entry-0", "POST", "/v1/completions", R"({"model":"essay-summary","prompt":"x"})", { { "X-Workspace", "w1" } });
    CHECK(refused.status == 503);
    CHECK(refused.body["error"]["name"] == "no_configuration");
    CHECK(refused.body["error"]["ran"] == "no");
    CHECK_FALSE(refused.retryAfter.empty());
    system.signal("controller-1", SIGCONT);
    system.signal("controller-2", SIGCONT);
    CHECK(waitUntil([&] { return system.isReady("entry-1") && system.isReady("entry-0"); }, seconds(15)));
}

TEST_CASE("processes: a lost disk is repaired, and a second controller may be killed right after", "[process]")
{
    cluster system(twoTargets());
    system.killHard("controller-1");
    system.loseDisk("controller-1");
    system.start("controller-1");
    const auto repaired = [&] {
        const auto status = system.callControllers("GET", "/v1/status");
        std::size_t voters = 0;
        for (const auto& member : status.body["controllers"])
            voters += member["voter"].get<bool>() ? 1 : 0;
        return voters == 3 && status.body["controllers"].size() == 3 && system.isReady("controller-1");
    };
    std::this_thread::sleep_for(seconds(1));
    REQUIRE(waitUntil(repaired, seconds(20)));
    const std::string second = system.leader() == "controller-1" ? "controller-2" : system.leader();
    system.killHard(second);
    CHECK(waitUntil([&] { return configurationVersion(system) == 1; }, seconds(15)));
    json document = cluster::standardDocument();
    document["workspaces"]["w3"] = json::object();
    CHECK(waitUntil([&] { return system.putConfiguration(document, 1, "repaired").status == 200; }, seconds(15)));
    CHECK(waitUntil([&] { return system.complete("entry-0", "still here", 3).code == result_code::Ok; }, seconds(10)));
}

TEST_CASE("processes: a booking runs once through any entry, also when processes are killed", "[process]")
{
    cluster_spec spec;
    spec.targets = { { "plain_service", "booking" }, { "plain_service", "booking" } };
    cluster system(spec);
    system.injectFault("target-0", { { "service_ms", 700 } });
    system.injectFault("target-1", { { "service_ms", 700 } });
    std::vector<caller_record> records(6);
    std::vector<std::thread> threads;
    for (std::size_t index = 0; index < 4; ++index)
        threads.emplace_back(
            [&, index] { records[index] = system.book("entry-" + std::to_string(index % 2), "k1", "slot-1"); });
    std::this_thread::sleep_for(milliseconds(300));
    system.killHard("entry-0");
    for (auto& thread : threads)
        thread.join();
    records[4] = system.book("entry-1", "k1", "slot-1");
    CHECK(records[4].code == result_code::Ok);
    CHECK(records[1].text == records[4].text);
    CHECK(records[3].text == records[4].text);
    CHECK(system.book("entry-1", "k1", "slot-2").code == result_code::KeyReused);
    CHECK(system.executions().size() == 1);
    // The sidecar that holds the response is killed: the outcome is unknown, and the request is not run again.
    const std::string holder = system.executions()[0].target == "target-0" ? "sidecar-0" : "sidecar-1";
    system.killHard(holder);
    records[5] = system.book("entry-1", "k1", "slot-1");
    CHECK(records[5].code == result_code::OutcomeUnknown);
    CHECK(records[5].ran == ran_state::Unknown);
    CHECK(system.executions().size() == 1);
    CHECK(violationsOf(system, records) == "");
    CHECK(system.call("entry-1", "POST", "/services/booking/bookings", "x", { { "X-Workspace", "w1" } })
              .body["error"]["name"]
        == "key_required");
}

TEST_CASE("processes: concurrent changes, resent changes, and a controller hundreds of changes behind", "[process]")
{
    cluster_spec spec = twoTargets();
    spec.snapshotEntries = 50;
    cluster system(spec);
    const auto withWorkspace = [](const std::string& name) {
        json document = cluster::standardDocument();
        document["workspaces"][name] = json::object();
        return document;
    };
    std::vector<http_response> responses(6);
    std::vector<std::thread> operators;
    for (std::size_t index = 0; index < responses.size(); ++index) {
        const std::string name = "race-" + std::to_string(index);
        operators.emplace_back(
            [&, index, name] { responses[index] = system.putConfiguration(withWorkspace(name), 1, name); });
    }
    for (auto& thread : operators)
        thread.join();
    std::size_t acceptedCount = 0;
    for (std::size_t index = 0; index < responses.size(); ++index) {
        CHECK((responses[index].status == 200 || responses[index].status == 409));
        acceptedCount += responses[index].status == 200 ? 1 : 0;
        const std::string name = "race-" + std::to_string(index);
        CHECK(system.putConfiguration(withWorkspace(name), 1, name).status == responses[index].status);
    }
    CHECK(acceptedCount == 1);
    CHECK(configurationVersion(system) == 2);
    CHECK(system.putConfiguration({ { "nonsense", 1 } }, 2, "bad").status == 422);
    CHECK(system.putConfiguration(withWorkspace("x"), 99, "future").status == 409);

    const std::string lagging = system.leader() == "controller-2" ? "controller-1" : "controller-2";
    system.killHard(lagging);
    system.killHard("entry-1");
    for (int number = 0; number < 300; ++number) {
        const std::string name = "w-" + std::to_string(number);
        REQUIRE(
            system.putConfiguration(withWorkspace(name), 2 + static_cast<std::uint64_t>(number), name).status == 200);
    }
    system.start(lagging);
    system.start("entry-1");
    const auto caughtUp = [&] {
        const auto response = system.call(lagging, "GET", "/v1/config");
        return response.status == 200 && response.body["version"] == 302;
    };
    CHECK(waitUntil(caughtUp, seconds(20)));
    CHECK(waitUntil([&] { return system.isReady("entry-1"); }, seconds(20)));
    // Log lines are written every 100 ms, and the entry may have just become ready.
    CHECK(waitUntil(
        [&] { return system.logOf("entry-1").find("configuration_applied version=302") != std::string::npos; },
        seconds(2)));
    // The last change is in effect at both entries: they know its workspace, and no longer that of the previous change.
    for (const std::string entry : { "entry-0", "entry-1" }) {
        const auto statusFor = [&](const std::string& workspace) {
            return system
                .call(entry, "POST", "/v1/completions", R"({"model":"essay-summary","prompt":"x","max_tokens":1})",
                    { { "X-Workspace", workspace } })
                .status;
        };
        CHECK(statusFor("w-299") == 200);
        CHECK(statusFor("w-298") == 403);
    }
}

TEST_CASE("processes: a split model continues when a stage is killed, with each layer run once per token", "[process]")
{
    cluster_spec spec;
    spec.targets = { { "layer_range", "hull-report", 0, 3 }, { "layer_range", "hull-report", 3, 8 },
        { "layer_range", "hull-report", 0, 3 }, { "layer_range", "hull-report", 3, 8 } };
    cluster system(spec);
    background_callers callers(3, [&](std::size_t thread, std::size_t number) {
        const std::string prompt = "hull " + std::to_string(thread) + "-" + std::to_string(number);
        return system.complete("entry-" + std::to_string(thread % 2), prompt, 8, thread == 0, "hull-inspection");
    });
    std::this_thread::sleep_for(milliseconds(700));
    system.killHard("sidecar-0");
    std::this_thread::sleep_for(milliseconds(1500));
    system.killHard("target-3");
    std::this_thread::sleep_for(seconds(3));
    const auto records = recordsOf(callers.stop());
    CHECK(failureCounts(records) == "");
    CHECK(violationsOf(system, records) == "");
    std::string layers;
    for (const auto& line : checkLayers(system.executions(), 8))
        layers += line + "\n";
    CHECK(layers == "");
    CHECK(records.size() > 5);
}

TEST_CASE("processes: a link stalls while it stays open, and a second sidecar is killed", "[process]")
{
    cluster_spec spec = twoTargets();
    spec.targets.push_back({ "openai" });
    spec.targets[0].viaRelay = true;
    cluster system(spec);
    background_callers callers(4, traffic(system, { "entry-0", "entry-1" }));
    std::this_thread::sleep_for(milliseconds(600));
    system.setSilent("sidecar-0", true);
    std::this_thread::sleep_for(milliseconds(300));
    system.killHard("sidecar-1");
    std::this_thread::sleep_for(seconds(4));
    system.setSilent("sidecar-0", false);
    std::this_thread::sleep_for(seconds(1));
    const auto records = recordsOf(callers.stop());
    CHECK(failureCounts(records) == "");
    CHECK(violationsOf(system, records) == "");
}

TEST_CASE("processes: a response that a target sends twice or late reaches the caller once and complete", "[process]")
{
    cluster system(twoTargets());
    system.injectFault("target-0", { { "answers_twice", true }, { "answer_late_ms", 2500 } });
    system.injectFault("target-1", { { "answers_twice", true } });
    std::vector<caller_record> records;
    for (int number = 0; number < 12; ++number)
        records.push_back(system.complete("entry-0", "p" + std::to_string(number), 4, number % 2 == 0));
    CHECK(failureCounts(records) == "");
    CHECK(violationsOf(system, records) == "");
}

TEST_CASE("processes: a version is switched under traffic, and its last ready copy is never removed", "[process]")
{
    cluster system(twoTargets());
    background_callers callers(3, traffic(system, { "entry-0", "entry-1" }));
    const auto order = [&](const std::string& instance, const std::string& version) {
        return system.callControllers("POST", "/v1/instances/" + instance + "/order",
            json({ { "model", "essay-review" }, { "version", version } }).dump());
    };
    const auto serves = [&](const std::string& instance, const std::string& version) {
        const auto status = system.callControllers("GET", "/v1/status");
        for (const auto& row : status.body["instances"]) {
            if (row["id"] == instance)
                return row["state"] == "ready" && row["target"]["version"] == version;
        }
        return false;
    };
    CHECK(order("sidecar-0", "2").status == 200);
    CHECK(order("sidecar-1", "2").body["error"]["name"] == "last_copy");
    CHECK(waitUntil([&] { return serves("sidecar-0", "2"); }, seconds(15)));
    json document = cluster::standardDocument();
    document["pipelines"]["essay-summary"]["versions"]
        = { { { "version", "1" }, { "share", 0 } }, { { "version", "2" }, { "share", 100 } } };
    CHECK(system.putConfiguration(document, 1, "switch").status == 200);
    CHECK(waitUntil([&] { return order("sidecar-1", "2").status == 200; }, seconds(5)));
    CHECK(waitUntil([&] { return serves("sidecar-1", "2"); }, seconds(15)));
    const auto records = recordsOf(callers.stop());
    CHECK(failureCounts(records) == "");
    CHECK(violationsOf(system, records) == "");
}

TEST_CASE("processes: invalid input gets a specific error and is not executed", "[process]")
{
    cluster system(twoTargets());
    const std::map<std::string, std::string> workspace { { "X-Workspace", "w1" } };
    const auto errorName
        = [&](const std::string& path, const std::string& body, std::map<std::string, std::string> headers) {
              const auto response = system.call("entry-0", "POST", path, body, headers);
              CHECK(response.status >= 400);
              CHECK(response.status < 500);
              CHECK(response.body["error"]["ran"] == "no");
              return response.body["error"]["name"].get<std::string>();
          };
    const std::string good = R"({"model":"essay-summary","prompt":"x"})";
    CHECK(errorName("/v1/completions", "{", workspace) == "malformed_request");
    CHECK(errorName("/v1/completions", R"({"model":"essay-summary"})", workspace) == "malformed_request");
    CHECK(errorName("/v1/completions", R"({"model":"x","prompt":"x"})", workspace) == "unknown_model");
    CHECK(errorName("/v1/completions", R"({"model":"essay-summary","prompt":"x","max_tokens":0})", workspace)
        == "malformed_request");
    CHECK(errorName("/v1/completions", good, {}) == "bad_header");
    CHECK(errorName("/v1/completions", good, { { "X-Workspace", "nobody" } }) == "unknown_workspace");
    CHECK(errorName("/v1/completions", good, { { "X-Workspace", "w1" }, { "X-Timeout-Ms", "soon" } }) == "bad_header");
    CHECK(errorName("/v1/completions", good, { { "X-Workspace", "w1" }, { "X-Priority", "urgent" } }) == "bad_header");
    CHECK(errorName("/v1/completions", std::string((4U << 20U) + 1, 'x'), workspace) == "body_too_large");
    CHECK(errorName("/services/nothing/x", "", workspace) == "unknown_service");
    CHECK(errorName("/nowhere", "", workspace) == "not_found");
    const std::string deep(200000, '[');
    CHECK(errorName("/v1/completions", deep, workspace) == "malformed_request");
    CHECK(system.callControllers("POST", "/v1/config/check", deep).status == 422);
    CHECK(system.callControllers("PUT", "/v1/config", R"({"base":1,"change_id":"d","document":)" + deep).status == 400);
    CHECK(system.executions().empty());
}
