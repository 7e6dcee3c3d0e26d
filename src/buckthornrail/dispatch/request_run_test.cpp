/// @file
/// @brief What a run does after a refusal.
#include "buckthornrail/dispatch/request_run.hpp"

#include <catch2/catch.hpp>

using namespace buckthornrail;
using namespace buckthornrail::dispatch;

namespace {

constexpr steady_time begin {};

template <typename Effect> Effect next(request_run& run)
{
    auto effect = run.nextEffect();
    REQUIRE(effect);
    REQUIRE(std::holds_alternative<Effect>(*effect));
    return std::get<Effect>(*effect);
}

/// @return a run that has sent its first offer, to sidecar "a"
request_run offeredRun()
{
    run_request request;
    request.id = "r";
    request.deadline = begin + milliseconds(5000);
    request_run run(request, {}, begin);
    run.start(begin);
    CHECK(next<choose_target>(run).excluded.empty());
    run.targetChosen({ "a", 1 }, begin);
    CHECK(next<send_offer>(run).target.instance == "a");
    return run;
}

} // namespace

// Guards against a loss of capacity during a configuration change under traffic: an entry may receive the new version a
// heartbeat after a sidecar. If it excluded the sidecar that reports the newer version, a model served by two targets
// would lose half of its capacity.
TEST_CASE(
    "run: a sidecar with a newer configuration may be chosen again once the entry has received that", "[dispatch]")
{
    auto run = offeredRun();
    run.refused({ { "r", 1 }, result_code::StaleConfiguration, "version 2 is known" }, begin);
    next<await_configuration>(run);
    CHECK_FALSE(run.nextEffect());
    run.configurationReceived(begin + milliseconds(100));
    const auto choice = next<choose_target>(run);
    CHECK(choice.excluded.empty());
    CHECK(choice.previous.code == result_code::StaleConfiguration);
    run.targetChosen({ "a", 1 }, begin + milliseconds(100));
    CHECK(next<send_offer>(run).attempt.number == 2);
}

TEST_CASE("run: a busy sidecar is excluded from the next choice", "[dispatch]")
{
    auto run = offeredRun();
    run.refused({ { "r", 1 }, result_code::Busy, "" }, begin);
    CHECK(next<choose_target>(run).excluded == std::set<instance_id> { "a" });
}

TEST_CASE("run: if no newer configuration arrives in time, the result states that nothing ran", "[dispatch]")
{
    auto run = offeredRun();
    run.refused({ { "r", 1 }, result_code::StaleConfiguration, "" }, begin);
    next<await_configuration>(run);
    run.tick(begin + run_options {}.staleConfigurationWait);
    const auto last = next<finish_run>(run);
    CHECK(last.result.code == result_code::StaleConfiguration);
    CHECK(last.ran == ran_state::No);
}
