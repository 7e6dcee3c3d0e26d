/// @file
/// @brief Tests of the quarantine's stages, trials, timeouts and bounds, and that replicas and gateways' copies agree.
#include "buckthornrail/registry/quarantine.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <set>

using namespace buckthornrail;
using namespace buckthornrail::registry;

namespace {

constexpr steady_time zero {};

request_fingerprint named(std::uint16_t name)
{
    request_fingerprint fingerprint;
    fingerprint.bytes[0] = static_cast<std::uint8_t>(name);
    fingerprint.bytes[1] = static_cast<std::uint8_t>(name >> 8U);
    return fingerprint;
}

quarantine_change crashOf(const std::string& target, std::vector<request_fingerprint> fingerprints)
{
    quarantine_change change;
    change.crashes.push_back({ target, std::move(fingerprints) });
    return change;
}

/// A request and the parts of its prompt.
struct begun_request {
    request_fingerprint whole;
    std::vector<suspect_part> parts;
};

/// @param presence of the parts; by default, three crashes hold a part and a fourth one in a trial proves it
begun_request begun(std::uint16_t name, std::initializer_list<int> parts, surprise presence = 300)
{
    begun_request request { named(name), {} };
    for (const int part : parts)
        request.parts.push_back({ named(static_cast<std::uint16_t>(part)), presence });
    return request;
}

quarantine_change crashOf(const std::string& target, const std::vector<begun_request>& requests)
{
    quarantine_change change;
    change.crashes.push_back({ target, {}, {} });
    for (const auto& request : requests) {
        change.crashes.back().begun.push_back(request.whole);
        change.crashes.back().parts.push_back(request.parts);
    }
    return change;
}

quarantine_change claimOf(const request_fingerprint& fingerprint, trial_number trial, const std::string& target)
{
    quarantine_change change;
    change.claims.push_back({ fingerprint, trial, target });
    return change;
}

quarantine_stage stageOf(const quarantine_table& table, const request_fingerprint& fingerprint)
{
    const auto* entry = table.find(fingerprint);
    return entry == nullptr ? quarantine_stage::None : entry->stage;
}

/// Reports crashes until the request is proven, the last one during a trial.
void prove(quarantine_table& table, const request_fingerprint& fingerprint, const std::string& prefix)
{
    table.apply(crashOf(prefix + "1", { fingerprint }));
    table.apply(crashOf(prefix + "2", { fingerprint }));
    table.apply(claimOf(fingerprint, 9, prefix + "3"));
    table.apply(crashOf(prefix + "3", { fingerprint }));
}

quarantine_change anyChange()
{
    const auto fingerprint = [] { return named(*rc::gen::inRange<std::uint16_t>(0, 6)); };
    const auto any = [&fingerprint] {
        return *rc::gen::inRange(0, 2) == 0 ? fingerprint() : named(*rc::gen::inRange<std::uint16_t>(100, 104));
    };
    const auto target = [] { return std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 8))); };
    quarantine_change change;
    switch (*rc::gen::inRange(0, 5)) {
    case 0: {
        std::vector<begun_request> requests;
        for (int count = 0; count < *rc::gen::inRange(1, 4); ++count) {
            requests.push_back({ fingerprint(), {} });
            for (int parts = *rc::gen::inRange(0, 3); parts > 0; --parts)
                requests.back().parts.push_back(
                    { named(*rc::gen::inRange<std::uint16_t>(100, 104)), *rc::gen::inRange(0, 600) });
        }
        return crashOf(target(), requests);
    }
    case 1:
        return claimOf(any(), *rc::gen::inRange<std::uint64_t>(1, 9), target());
    case 2:
        change.ends.push_back({ any(), *rc::gen::inRange<std::uint64_t>(1, 9) });
        return change;
    case 3:
        change.cleared.push_back(any());
        return change;
    default:
        change.expired.push_back({ any(), *rc::gen::inRange<std::uint64_t>(0, 40) });
        return change;
    }
}

} // namespace

TEST_CASE("quarantine: a crash counts once, however many gateways report it", "[quarantine]")
{
    quarantine_table table;
    table.apply(crashOf("a", { named(1), named(2) }));
    table.apply(crashOf("a", { named(1) }));
    CHECK(stageOf(table, named(1)) == quarantine_stage::Suspect);
    CHECK(stageOf(table, named(2)) == quarantine_stage::Suspect);
    table.apply(crashOf("b", { named(1) }));
    CHECK(stageOf(table, named(1)) == quarantine_stage::Held);
    CHECK(stageOf(table, named(2)) == quarantine_stage::Suspect);
}

TEST_CASE("quarantine: one trial per request, and one held request per target", "[quarantine]")
{
    quarantine_table table;
    table.apply(crashOf("a", { named(1), named(2) }));
    const trial_claim first { named(1), 11, "b" };
    const trial_claim second { named(1), 12, "c" };
    table.apply(claimOf(named(1), 11, "b"));
    table.apply(claimOf(named(1), 12, "c"));
    CHECK(table.refusalOf(first) == trial_refusal::None);
    CHECK(table.refusalOf(second) == trial_refusal::Running);
    // Most suspects are harmless and there are many of them, so they may share a target.
    table.apply(claimOf(named(2), 13, "b"));
    CHECK(table.refusalOf({ named(2), 13, "b" }) == trial_refusal::None);
    table.apply(crashOf("b", { named(1), named(2) }));
    CHECK(table.refusalOf(first) == trial_refusal::None); // the crash ended the trial
    table.apply(claimOf(named(1), 14, "c"));
    table.apply(claimOf(named(2), 15, "c"));
    CHECK(table.refusalOf({ named(1), 14, "c" }) == trial_refusal::None);
    CHECK(table.refusalOf({ named(2), 15, "c" }) == trial_refusal::TargetTaken);
    quarantine_change end;
    end.ends.push_back({ named(1), 14 });
    table.apply(end);
    CHECK(table.refusalOf({ named(2), 15, "c" }) == trial_refusal::None);
    CHECK(table.refusalOf({ named(3), 16, "c" }) == trial_refusal::Unknown);
}

TEST_CASE("quarantine: a crash during a held request's trial proves it for a minute, doubled each time", "[quarantine]")
{
    quarantine_table table;
    quarantine_timers timers;
    prove(table, named(1), "a");
    CHECK(stageOf(table, named(1)) == quarantine_stage::Proven);
    CHECK(table.refusalOf({ named(1), 20, "x" }) == trial_refusal::Proven);
    steady_time now = zero;
    milliseconds expected { 60000 };
    for (int round = 0; round < 9; ++round) {
        CHECK(timers.takeExpired(table, now).empty());
        CHECK(timers.takeExpired(table, now + expected - milliseconds(1)).empty());
        now += expected;
        quarantine_change ended;
        ended.expired = timers.takeExpired(table, now);
        REQUIRE(ended.expired.size() == 1);
        table.apply(ended);
        CHECK(stageOf(table, named(1)) == quarantine_stage::Held); // allows one more trial
        const std::string target = "b" + std::to_string(round);
        table.apply(claimOf(named(1), 30, target));
        table.apply(crashOf(target, { named(1) }));
        CHECK(stageOf(table, named(1)) == quarantine_stage::Proven);
        expected = std::min(expected * 2, milliseconds(3600000));
    }
}

TEST_CASE("quarantine: three crashes outside of trials allow another trial soon", "[quarantine]")
{
    quarantine_table table;
    quarantine_timers timers;
    for (const auto* target : { "a", "b", "c" })
        table.apply(crashOf(target, { named(1) }));
    CHECK(stageOf(table, named(1)) == quarantine_stage::Proven);
    CHECK(timers.takeExpired(table, zero).empty());
    quarantine_change ended;
    ended.expired = timers.takeExpired(table, zero + milliseconds(5000));
    REQUIRE(ended.expired.size() == 1);
    table.apply(ended);
    CHECK(stageOf(table, named(1)) == quarantine_stage::Held);
    // A harmless request gets a complete response in that trial and is cleared.
    quarantine_change completed;
    completed.cleared.push_back(named(1));
    table.apply(completed);
    CHECK(stageOf(table, named(1)) == quarantine_stage::None);
}

TEST_CASE("quarantine: an abandoned trial times out, and later the suspect is removed", "[quarantine]")
{
    quarantine_table table;
    quarantine_timers timers;
    table.apply(crashOf("a", { named(1) }));
    table.apply(claimOf(named(1), 11, "b"));
    CHECK(timers.takeExpired(table, zero).empty());
    quarantine_change ended;
    ended.expired = timers.takeExpired(table, zero + milliseconds(5000));
    REQUIRE(ended.expired.size() == 1);
    // The expiry is returned again in case it was lost.
    CHECK(timers.takeExpired(table, zero + milliseconds(5500)).empty());
    CHECK(timers.takeExpired(table, zero + milliseconds(6000)).size() == 1);
    table.apply(ended);
    CHECK(table.refusalOf({ named(1), 12, "c" }) == trial_refusal::None);
    CHECK(timers.takeExpired(table, zero + milliseconds(7000)).empty());
    ended.expired = timers.takeExpired(table, zero + milliseconds(700000));
    table.apply(ended);
    CHECK(table.entries().empty());
}

// Guards against trials that never end: a registry leads again and the table hasn't changed since it led before.
TEST_CASE("quarantine: timeouts begin anew at a registry that leads again", "[quarantine]")
{
    quarantine_table table;
    quarantine_timers timers;
    table.apply(crashOf("a", { named(1) }));
    table.apply(claimOf(named(1), 11, "b"));
    CHECK(timers.takeExpired(table, zero).empty());
    timers.reset();
    CHECK(timers.takeExpired(table, zero + milliseconds(1000)).empty());
    CHECK(timers.takeExpired(table, zero + milliseconds(6000)).size() == 1);
}

TEST_CASE("quarantine: an expiry of an outdated revision has no effect", "[quarantine]")
{
    quarantine_table table;
    table.apply(crashOf("a", { named(1) }));
    quarantine_change late;
    late.expired.push_back({ named(1), table.find(named(1))->revision });
    table.apply(crashOf("b", { named(1) }));
    table.apply(late);
    CHECK(stageOf(table, named(1)) == quarantine_stage::Held);
}

TEST_CASE("quarantine: a flood of crashing requests evicts no proven entry and stays bounded", "[quarantine]")
{
    quarantine_options options;
    options.maxProven = 10;
    options.maxSuspects = 20;
    quarantine_table table(options);
    prove(table, named(1), "first");
    for (std::uint16_t number = 2; number < 1000; ++number)
        prove(table, named(number), "t" + std::to_string(number) + "-");
    CHECK(stageOf(table, named(1)) == quarantine_stage::Proven);
    CHECK(table.entries().size() <= 30);
    // Requests beyond the bound of proven ones stay held: each may run only on trial.
    CHECK(stageOf(table, named(999)) == quarantine_stage::Held);
}

TEST_CASE("quarantine: a part is held after three crashes in a row, and proven by a trial", "[quarantine]")
{
    quarantine_table table;
    table.apply(crashOf("a", { begun(1, { 100, 101 }), begun(50, { 102 }) }));
    table.apply(crashOf("b", { begun(2, { 100, 103 }) }));
    CHECK(stageOf(table, named(100)) == quarantine_stage::Suspect); // restricts no request
    table.apply(crashOf("c", { begun(3, { 100, 104 }) }));
    CHECK(stageOf(table, named(100)) == quarantine_stage::Held);
    CHECK(stageOf(table, named(101)) == quarantine_stage::Suspect);
    table.apply(claimOf(named(100), 11, "d"));
    table.apply(crashOf("d", { begun(4, { 100, 105 }), begun(51, { 102 }) }));
    CHECK(stageOf(table, named(100)) == quarantine_stage::Proven);
    CHECK(table.find(named(100))->proofs == 1U);
    // Its proof explains all four crashes.
    CHECK(table.entries().size() == 1);
    // Also those that other gateways report later.
    table.apply(crashOf("d", { begun(52, { 106 }) }));
    table.apply(crashOf("e", { begun(5, { 100, 107 }), begun(53, { 108 }) }));
    CHECK(table.entries().size() == 1);
}

TEST_CASE("quarantine: a response clears a part, whatever its requests have crashed", "[quarantine]")
{
    quarantine_table table;
    for (const auto* target : { "a", "b", "c" })
        table.apply(crashOf(target, { begun(1, { 100 }) }));
    CHECK(stageOf(table, named(100)) == quarantine_stage::Held);
    quarantine_change survived;
    survived.cleared.push_back(named(100));
    table.apply(survived);
    CHECK(stageOf(table, named(100)) == quarantine_stage::None);
    CHECK(stageOf(table, named(1)) == quarantine_stage::Proven);
}

TEST_CASE("quarantine: one request alone proves none of its parts", "[quarantine]")
{
    quarantine_table table;
    for (const auto* target : { "a", "b", "c" })
        table.apply(crashOf(target, { begun(1, { 100 }) }));
    table.apply(claimOf(named(100), 11, "d"));
    table.apply(crashOf("d", { begun(1, { 100 }) }));
    CHECK(stageOf(table, named(100)) == quarantine_stage::Held);
    for (const auto* target : { "e", "f", "g", "h" })
        table.apply(crashOf(target, { begun(1, { 100 }) }));
    CHECK(stageOf(table, named(100)) == quarantine_stage::Held);
}

TEST_CASE(
    "quarantine: parts that the same crashes speak against are contested until one is tried alone", "[quarantine]")
{
    quarantine_table table;
    for (std::uint16_t number = 1; number <= 3; ++number)
        table.apply(crashOf("t" + std::to_string(number), { begun(number, { 100, 101 }) }));
    quarantine_change claims;
    claims.claims = { { named(100), 11, "t4" }, { named(101), 11, "t4" } };
    table.apply(claims);
    CHECK(table.refusalOf(claims.claims[0]) == trial_refusal::None);
    CHECK(table.refusalOf(claims.claims[1]) == trial_refusal::None);
    table.apply(crashOf("t4", { begun(4, { 100, 101 }) }));
    for (const std::uint16_t part : { 100, 101 }) {
        CHECK(stageOf(table, named(part)) == quarantine_stage::Held);
        CHECK(table.find(named(part))->isContested);
    }
    const auto delta = table.changesSince(0);
    CHECK(std::count_if(delta.standings.begin(), delta.standings.end(), [](const auto& each) {
        return each.isContested;
    }) == 2);
    SECTION("a request with one of them crashes its target")
    {
        table.apply(claimOf(named(101), 12, "t5"));
        table.apply(crashOf("t5", { begun(5, { 101 }) }));
        CHECK(stageOf(table, named(101)) == quarantine_stage::Proven);
        CHECK(stageOf(table, named(100)) == quarantine_stage::None);
    }
    SECTION("a request with one of them gets a response: it was the other one")
    {
        quarantine_change survived;
        survived.cleared.push_back(named(100));
        table.apply(survived);
        CHECK(stageOf(table, named(100)) == quarantine_stage::None);
        CHECK(stageOf(table, named(101)) == quarantine_stage::Proven);
    }
}

TEST_CASE("quarantine: six crashes without a trial prove a part for five seconds, unless another has them too",
    "[quarantine]")
{
    quarantine_table table;
    quarantine_timers timers;
    const bool isShared = GENERATE(false, true);
    for (std::uint16_t number = 1; number <= 6; ++number) {
        const std::uint16_t other = isShared ? 101 : 200 + number;
        table.apply(crashOf("t" + std::to_string(number), { begun(number, { 100, other }) }));
    }
    if (isShared) {
        CHECK(table.find(named(100))->isContested);
        CHECK(table.find(named(101))->isContested);
        return;
    }
    CHECK(stageOf(table, named(100)) == quarantine_stage::Proven);
    CHECK(stageOf(table, named(205)) == quarantine_stage::Suspect); // the proof is not confirmed
    CHECK(timers.takeExpired(table, zero).empty());
    quarantine_change ended;
    ended.expired = timers.takeExpired(table, zero + milliseconds(5000));
    table.apply(ended);
    CHECK(stageOf(table, named(100)) == quarantine_stage::Held);
}

TEST_CASE(
    "quarantine: a trial's path may crash at any member, but proves nothing where two trials meet", "[quarantine]")
{
    quarantine_table table;
    for (std::uint16_t number = 1; number <= 3; ++number)
        table.apply(crashOf("t" + std::to_string(number), { begun(number, { 100 }), begun(number + 10, { 101 }) }));
    quarantine_change claims;
    claims.claims = { { named(100), 11, "a", { "m", "n" } } };
    SECTION("one trial")
    {
        table.apply(claims);
        table.apply(crashOf("m", { begun(4, { 100 }) }));
        CHECK(stageOf(table, named(100)) == quarantine_stage::Proven);
    }
    SECTION("two trials")
    {
        claims.claims.push_back({ named(101), 12, "b", { "m", "o" } });
        table.apply(claims);
        table.apply(crashOf("m", { begun(4, { 100 }), begun(14, { 101 }) }));
        CHECK(stageOf(table, named(100)) == quarantine_stage::Held);
        CHECK(stageOf(table, named(101)) == quarantine_stage::Held);
    }
}

TEST_CASE(
    "quarantine: a proven request excuses no part, as it may have been proven by another one's crash", "[quarantine]")
{
    quarantine_table table;
    table.apply(crashOf("a", { begun(1, { 100 }), begun(50, { 102 }) }));
    table.apply(crashOf("b", { begun(1, { 100 }), begun(51, { 102 }) }));
    table.apply(claimOf(named(1), 11, "c"));
    table.apply(crashOf("c", { begun(1, { 100 }), begun(52, { 102 }) }));
    CHECK(stageOf(table, named(1)) == quarantine_stage::Proven);
    CHECK(stageOf(table, named(102)) == quarantine_stage::Held);
}

TEST_CASE("quarantine: a part that most prompts have is never held", "[quarantine]")
{
    quarantine_table table;
    for (std::uint16_t number = 1; number < 100; ++number)
        table.apply(crashOf("t" + std::to_string(number), { begun(number, { 100 }, 0) }));
    CHECK(stageOf(table, named(100)) == quarantine_stage::Suspect);
}

TEST_CASE("quarantine: crashes without a part speak for it", "[quarantine]")
{
    const auto stageAfter = [](int others) {
        quarantine_table table;
        std::uint16_t number = 1;
        for (int hit = 0; hit < 3; ++hit) {
            table.apply(crashOf("hit" + std::to_string(hit), { begun(number++, { 100 }) }));
            for (int other = 0; other < others; ++other)
                table.apply(crashOf("t" + std::to_string(number), { begun(number++, {}) }));
        }
        return stageOf(table, named(100));
    };
    CHECK(stageAfter(0) == quarantine_stage::Held);
    CHECK(stageAfter(1) == quarantine_stage::Held);
    CHECK(stageAfter(20) == quarantine_stage::Suspect);
}

TEST_CASE("quarantine: two proven parts that come together both explain their crashes", "[quarantine]")
{
    quarantine_table table;
    std::uint16_t number = 0;
    for (const std::uint16_t part : { 100, 101 }) {
        for (int crash = 0; crash < 4; ++crash) {
            const std::string target = "t" + std::to_string(++number);
            table.apply(claimOf(named(part), number, target));
            table.apply(crashOf(target, { begun(number, { part }, 500) }));
        }
        CHECK(stageOf(table, named(part)) == quarantine_stage::Proven);
    }
    for (int crash = 0; crash < 40; ++crash) {
        ++number;
        table.apply(crashOf("t" + std::to_string(number), { begun(number, { 100, 101, 102 }, 500) }));
        CHECK(stageOf(table, named(102)) == quarantine_stage::None);
    }
    const bool isOneProven = stageOf(table, named(100)) == quarantine_stage::Proven
        || stageOf(table, named(101)) == quarantine_stage::Proven;
    CHECK(isOneProven);
}

TEST_CASE("quarantine: a full table evicts parts while their trial crashes", "[quarantine]")
{
    quarantine_options options;
    options.maxSuspects = 1;
    quarantine_table table(options);
    for (std::uint16_t number = 1; number < 60; ++number) {
        const std::string target = "t" + std::to_string(number);
        table.apply(claimOf(named(100), number, target));
        table.apply(crashOf(target, { begun(number, { 100, 101, 102 }, 500) }));
        CHECK(table.entries().size() <= 2);
    }
}

TEST_CASE("quarantine: a view updated by deltas equals the table", "[quarantine][property]")
{
    rc::prop("any changes, with deltas at any time", [] {
        quarantine_options options;
        options.maxSuspects = 4;
        options.maxProven = 2;
        options.maxRetainedRemovals = 2;
        quarantine_table table(options);
        quarantine_view view;
        const int steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step) {
            table.apply(anyChange());
            if (*rc::gen::inRange(0, 3) == 0)
                view.apply(table.changesSince(view.revision()));
        }
        view.apply(table.changesSince(view.revision()));
        RC_ASSERT(view.size() == table.entries().size());
        for (const auto& [fingerprint, entry] : table.entries())
            RC_ASSERT(view.stageOf(fingerprint) == entry.stage);
    });
}

TEST_CASE("quarantine: invariants hold under any changes", "[quarantine][property]")
{
    rc::prop("one trial of a held request per target, none of a proven one, and crash counts match stages", [] {
        quarantine_table table;
        const int steps = *rc::gen::inRange(1, 80);
        for (int step = 0; step < steps; ++step) {
            table.apply(anyChange());
            std::map<target_incarnation, trial_number> trialTargets;
            for (const auto& [fingerprint, entry] : table.entries()) {
                RC_ASSERT(entry.stage != quarantine_stage::None);
                RC_ASSERT(entry.crashes >= entry.ended.size());
                if (!entry.isPart)
                    RC_ASSERT((entry.stage == quarantine_stage::Suspect) == (entry.crashes == 1));
                if (entry.isPart && entry.stage != quarantine_stage::Suspect)
                    RC_ASSERT(entry.crashes >= 2U);
                RC_ASSERT(entry.presences.size() == entry.ended.size());
                RC_ASSERT(entry.evidence.hits <= entry.evidence.ends);
                if (entry.stage == quarantine_stage::Proven) {
                    RC_ASSERT(entry.trial == 0U);
                    RC_ASSERT(entry.crashes >= (entry.isPart ? 2U : 3U));
                }
                if (entry.stage == quarantine_stage::Held && entry.trial != 0)
                    RC_ASSERT(trialTargets.try_emplace(entry.trialTarget, entry.trial).first->second == entry.trial);
            }
        }
    });
    rc::prop("a replica restored from a snapshot stays equal to the others", [] {
        quarantine_table original;
        for (int step = 0; step < *rc::gen::inRange(0, 30); ++step)
            original.apply(anyChange());
        quarantine_table restored;
        restored.restore(original.entries(), original.revision());
        for (int step = 0; step < *rc::gen::inRange(0, 30); ++step) {
            const auto change = anyChange();
            original.apply(change);
            restored.apply(change);
        }
        RC_ASSERT(original.revision() == restored.revision());
        RC_ASSERT(original.entries().size() == restored.entries().size());
        for (const auto& [fingerprint, entry] : original.entries()) {
            const auto* same = restored.find(fingerprint);
            RC_ASSERT(same != nullptr);
            RC_ASSERT(same->stage == entry.stage);
            RC_ASSERT(same->trial == entry.trial);
            RC_ASSERT(same->crashes == entry.crashes);
            RC_ASSERT(same->isContested == entry.isContested);
            RC_ASSERT(same->related == entry.related);
            RC_ASSERT(same->evidence == entry.evidence);
        }
    });
}
