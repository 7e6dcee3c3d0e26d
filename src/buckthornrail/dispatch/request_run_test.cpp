/// @file
/// @brief A run's next step after a refusal.
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

/// A run whose first offer, to sidecar "a", is out.
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

// A switch of versions under traffic: entries whose document arrives a heartbeat after a sidecar's must not drop the
// sidecar that told them so; where two targets serve a model, it is half of what is left.
TEST_CASE("run: a sidecar that knows a newer configuration may be chosen again once that has come", "[dispatch]")
{
    auto run = offeredRun();
    run.refused({ { "r", 1 }, result_code::StaleConfiguration, "version 2 is known" }, begin);
    next<await_configuration>(run);
    CHECK_FALSE(run.nextEffect());
    run.configurationReceived(begin + milliseconds(100));
    const auto wish = next<choose_target>(run);
    CHECK(wish.excluded.empty());
    CHECK(wish.previous.code == result_code::StaleConfiguration);
    run.targetChosen({ "a", 1 }, begin + milliseconds(100));
    CHECK(next<send_offer>(run).attempt.number == 2);
}

TEST_CASE("run: a sidecar that is busy is left out of the next choice", "[dispatch]")
{
    auto run = offeredRun();
    run.refused({ { "r", 1 }, result_code::Busy, "" }, begin);
    CHECK(next<choose_target>(run).excluded == std::set<instance_id> { "a" });
}

TEST_CASE("run: without a newer configuration in time the caller is told that nothing ran", "[dispatch]")
{
    auto run = offeredRun();
    run.refused({ { "r", 1 }, result_code::StaleConfiguration, "" }, begin);
    next<await_configuration>(run);
    run.tick(begin + run_options {}.staleConfigurationWait);
    const auto last = next<finish_run>(run);
    CHECK(last.result.code == result_code::StaleConfiguration);
    CHECK(last.ran == ran_state::No);
}
