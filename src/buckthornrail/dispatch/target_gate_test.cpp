/// @file
/// @brief Attempts start at most once, never after a refusal, and in fair order.
#include "buckthornrail/dispatch/target_gate.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <set>

using namespace buckthornrail;
using namespace buckthornrail::dispatch;

namespace {

constexpr incarnation_number self = 9;
constexpr link_number entryLink = 1;
const steady_time begin = steady_time {} + std::chrono::hours(1);

target_gate readyGate(std::size_t slots, std::size_t queue)
{
    gate_options options;
    options.incarnation = self;
    options.slots = slots;
    options.queueLimit = queue;
    target_gate gate(options, begin);
    gate.renewConfiguration(1, begin + std::chrono::hours(1));
    gate.setReady(true);
    return gate;
}

attempt_offer offerOf(const std::string& request, const std::string& workspace = "w", std::uint32_t weight = 1,
    request_priority priority = request_priority::Normal)
{
    attempt_offer offer;
    offer.attempt = { request, 1 };
    offer.incarnation = self;
    offer.configuration = 1;
    offer.startWithinMs = 1000;
    offer.finishWithinMs = 10000;
    offer.workspace = workspace;
    offer.weight = weight;
    offer.priority = priority;
    return offer;
}

template <typename Effect> std::vector<std::string> requestsOf(const std::vector<gate_effect>& effects)
{
    std::vector<std::string> requests;
    for (const auto& effect : effects) {
        if (const auto* matching = std::get_if<Effect>(&effect))
            requests.push_back(matching->attempt.request);
    }
    return requests;
}

result_code refusalOf(const std::vector<gate_effect>& effects)
{
    for (const auto& effect : effects) {
        if (const auto* refused = std::get_if<gate_refuse>(&effect))
            return refused->why.code;
    }
    return result_code::Ok;
}

} // namespace

TEST_CASE("gate: an attempt starts when a slot is free, and only once", "[gate]")
{
    auto gate = readyGate(1, 4);
    CHECK(requestsOf<gate_start>(gate.offer(offerOf("a"), entryLink, begin)) == std::vector<std::string> { "a" });
    CHECK(gate.offer(offerOf("a"), entryLink, begin).empty());
    CHECK(requestsOf<gate_start>(gate.offer(offerOf("b"), entryLink, begin)).empty());
    CHECK(requestsOf<gate_start>(gate.finished({ "a", 1 }, begin)) == std::vector<std::string> { "b" });
    CHECK(gate.offer(offerOf("a"), entryLink, begin).empty());
    CHECK(gate.finished({ "a", 1 }, begin).empty());
}

TEST_CASE("gate: an offer that arrives after its revocation is refused", "[gate]")
{
    auto gate = readyGate(1, 4);
    std::vector<gate_effect> effects;
    CHECK(gate.revoke({ { "a", 1 }, self, false }, begin, effects) == revoke_outcome::NotStarted);
    CHECK(refusalOf(gate.offer(offerOf("a"), entryLink, begin)) == result_code::Revoked);
    CHECK(gate.running() == 0);
}

TEST_CASE("gate: revocation reports the correct outcome in every state", "[gate]")
{
    auto gate = readyGate(1, 4);
    std::vector<gate_effect> effects;
    gate.offer(offerOf("a"), entryLink, begin);
    gate.offer(offerOf("b"), entryLink, begin);
    CHECK(gate.revoke({ { "b", 1 }, self, false }, begin, effects) == revoke_outcome::NotStarted);
    CHECK(gate.revoke({ { "a", 1 }, self, false }, begin, effects) == revoke_outcome::Started);
    CHECK(gate.revoke({ { "a", 1 }, self + 1, false }, begin, effects) == revoke_outcome::Unknown);
    CHECK(requestsOf<gate_start>(gate.finished({ "a", 1 }, begin)).empty());
    CHECK(gate.revoke({ { "a", 1 }, self, false }, begin, effects) == revoke_outcome::Started);
}

TEST_CASE("gate: cancellation reaches the target, but not for non-idempotent work", "[gate]")
{
    auto gate = readyGate(2, 4);
    std::vector<gate_effect> effects;
    auto booking = offerOf("booking");
    booking.nonIdempotent = true;
    gate.offer(offerOf("a"), entryLink, begin);
    gate.offer(booking, entryLink, begin);
    CHECK(gate.revoke({ { "booking", 1 }, self, true }, begin, effects) == revoke_outcome::Started);
    CHECK(effects.empty());
    CHECK(requestsOf<gate_cancel>(gate.linkLost(entryLink, begin)) == std::vector<std::string> { "a" });
    CHECK(gate.revoke({ { "a", 1 }, self, true }, begin, effects) == revoke_outcome::Started);
    CHECK(effects.empty()); // already cancelled
}

TEST_CASE("gate: each reason for a refusal has its code, and nothing starts", "[gate]")
{
    auto gate = readyGate(1, 1);
    auto offer = offerOf("other-incarnation");
    offer.incarnation = self + 1;
    CHECK(refusalOf(gate.offer(offer, entryLink, begin)) == result_code::WrongIncarnation);
    gate.renewConfiguration(2, begin + std::chrono::hours(1));
    CHECK(refusalOf(gate.offer(offerOf("old"), entryLink, begin)) == result_code::StaleConfiguration);
    offer = offerOf("late");
    offer.configuration = 2;
    offer.startWithinMs = 0;
    CHECK(refusalOf(gate.offer(offer, entryLink, begin)) == result_code::StartDeadlinePassed);
    gate.setReady(false);
    offer = offerOf("unready");
    offer.configuration = 2;
    CHECK(refusalOf(gate.offer(offer, entryLink, begin)) == result_code::TargetNotReady);
    gate.setReady(true);
    gate.setDraining(true);
    offer = offerOf("draining");
    offer.configuration = 2;
    CHECK(refusalOf(gate.offer(offer, entryLink, begin)) == result_code::Draining);
    gate.setDraining(false);
    offer = offerOf("no-lease");
    offer.configuration = 2;
    CHECK(refusalOf(gate.offer(offer, entryLink, begin + std::chrono::hours(2))) == result_code::LeaseExpired);
    CHECK(gate.running() == 0);
}

TEST_CASE("gate: a lower configuration never replaces a higher one", "[gate]")
{
    auto gate = readyGate(1, 1);
    gate.renewConfiguration(5, begin + std::chrono::hours(1));
    gate.renewConfiguration(4, begin + std::chrono::hours(9));
    CHECK(gate.configuration() == 5);
}

TEST_CASE("gate: queued work is refused at its start deadline, running work cancelled at its finish deadline", "[gate]")
{
    auto gate = readyGate(1, 4);
    gate.offer(offerOf("a"), entryLink, begin);
    gate.offer(offerOf("b"), entryLink, begin);
    CHECK(refusalOf(gate.tick(begin + milliseconds(1001))) == result_code::StartDeadlinePassed);
    CHECK(requestsOf<gate_cancel>(gate.tick(begin + milliseconds(10001))) == std::vector<std::string> { "a" });
}

TEST_CASE("gate: an attempt whose work never reached the target has not run", "[gate]")
{
    auto gate = readyGate(1, 4);
    std::vector<gate_effect> effects;
    gate.offer(offerOf("a"), entryLink, begin);
    CHECK(refusalOf(gate.notStarted({ "a", 1 }, { result_code::TargetNotReady, "" }, begin))
        == result_code::TargetNotReady);
    CHECK(gate.revoke({ { "a", 1 }, self, false }, begin, effects) == revoke_outcome::NotStarted);
    CHECK(gate.running() == 0);
}

TEST_CASE("gate: records of ended attempts expire after their retention, non-idempotent ones later", "[gate]")
{
    auto gate = readyGate(2, 4);
    auto booking = offerOf("booking");
    booking.nonIdempotent = true;
    gate.offer(offerOf("a"), entryLink, begin);
    gate.offer(booking, entryLink, begin);
    gate.finished({ "a", 1 }, begin);
    gate.finished({ "booking", 1 }, begin);
    gate.tick(begin + gate.options().recordRetention);
    CHECK(gate.takeExpired() == std::vector<attempt_id> { { "a", 1 } });
    CHECK(gate.stateOf({ "booking", 1 }) == gate_state::Finished);
    gate.tick(begin + gate.options().nonIdempotentRetention);
    CHECK(gate.takeExpired() == std::vector<attempt_id> { { "booking", 1 } });
    CHECK(gate.takeExpired().empty());
}

TEST_CASE("gate: a full queue evicts work in favour of work with precedence", "[gate]")
{
    auto gate = readyGate(1, 2);
    gate.offer(offerOf("running", "flood"), entryLink, begin);
    gate.offer(offerOf("f1", "flood"), entryLink, begin);
    gate.offer(offerOf("f2", "flood"), entryLink, begin);
    CHECK(refusalOf(gate.offer(offerOf("f3", "flood"), entryLink, begin)) == result_code::QueueFull);
    const auto effects = gate.offer(offerOf("small", "other"), entryLink, begin);
    CHECK(requestsOf<gate_refuse>(effects) == std::vector<std::string> { "f2" });
    CHECK(requestsOf<gate_accept>(effects) == std::vector<std::string> { "small" });
    const auto high = gate.offer(offerOf("urgent", "flood", 1, request_priority::High), entryLink, begin);
    CHECK(requestsOf<gate_accept>(high) == std::vector<std::string> { "urgent" });
    CHECK(requestsOf<gate_start>(gate.finished({ "running", 1 }, begin)) == std::vector<std::string> { "urgent" });
}

TEST_CASE("gate: contended starts follow the workspaces' weights", "[gate]")
{
    auto gate = readyGate(1, 64);
    std::map<std::string, int> starts;
    int number = 0;
    const auto refill = [&](const std::string& workspace, std::uint32_t weight) {
        return gate.offer(offerOf(std::to_string(number++) + workspace, workspace, weight), entryLink, begin);
    };
    std::vector<gate_effect> effects = refill("a", 3);
    for (int round = 0; round < 8; ++round) {
        refill("a", 3);
        refill("b", 1);
    }
    for (int round = 0; round < 400; ++round) {
        const auto started = requestsOf<gate_start>(effects);
        REQUIRE(started.size() == 1);
        const std::string workspace = started.front().substr(started.front().size() - 1);
        ++starts[workspace];
        refill(workspace, workspace == "a" ? 3 : 1);
        effects = gate.finished({ started.front(), 1 }, begin);
    }
    CHECK(starts["a"] == Approx(300).margin(15));
    CHECK(starts["b"] == Approx(100).margin(15));
}

TEST_CASE("gate: under any order of events no attempt starts twice or after it was reported as not started",
    "[gate][property]")
{
    rc::prop("gate", [] {
        auto gate = readyGate(2, 2);
        steady_time now = begin;
        std::set<attempt_id> started;
        std::set<attempt_id> reportedNotStarted;
        const auto check = [&](const std::vector<gate_effect>& effects) {
            for (const auto& effect : effects) {
                if (const auto* start = std::get_if<gate_start>(&effect)) {
                    RC_ASSERT(started.insert(start->attempt).second);
                    RC_ASSERT(!reportedNotStarted.contains(start->attempt));
                }
                if (const auto* refused = std::get_if<gate_refuse>(&effect)) {
                    RC_ASSERT(!started.contains(refused->attempt));
                    reportedNotStarted.insert(refused->attempt);
                }
            }
            RC_ASSERT(gate.running() <= 2U);
            RC_ASSERT(gate.queued() <= 2U);
        };
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 7 * 8 * 50));
        for (const int step : steps) {
            const std::string request = "r" + std::to_string(step / 7 % 8);
            const attempt_id attempt { request, 1 };
            std::vector<gate_effect> effects;
            switch (step % 7) {
            case 0:
            case 1:
                effects = gate.offer(offerOf(request, "w" + std::to_string(step % 3)), step % 2 + 1, now);
                break;
            case 2:
                if (gate.revoke({ attempt, self, true }, now, effects) == revoke_outcome::NotStarted) {
                    RC_ASSERT(!started.contains(attempt));
                    reportedNotStarted.insert(attempt);
                } else {
                    RC_ASSERT(started.contains(attempt));
                }
                break;
            case 3:
                effects = gate.finished(attempt, now);
                break;
            case 4:
                effects = gate.linkLost(step % 2 + 1, now);
                break;
            case 5:
                now += milliseconds(step / 56 * 20);
                effects = gate.tick(now);
                break;
            default:
                gate.setReady(step / 56 % 4 != 0);
                break;
            }
            check(effects);
        }
    });
}
