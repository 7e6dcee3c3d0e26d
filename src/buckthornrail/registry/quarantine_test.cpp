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
    const auto target = [] { return std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 8))); };
    quarantine_change change;
    switch (*rc::gen::inRange(0, 5)) {
    case 0: {
        std::vector<request_fingerprint> fingerprints;
        for (int count = 0; count < *rc::gen::inRange(1, 4); ++count)
            fingerprints.push_back(fingerprint());
        return crashOf(target(), fingerprints);
    }
    case 1:
        return claimOf(fingerprint(), *rc::gen::inRange<std::uint64_t>(1, 9), target());
    case 2:
        change.ends.push_back({ fingerprint(), *rc::gen::inRange<std::uint64_t>(1, 9) });
        return change;
    case 3:
        change.cleared.push_back(fingerprint());
        return change;
    default:
        change.expired.push_back({ fingerprint(), *rc::gen::inRange<std::uint64_t>(0, 40) });
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
            std::set<target_incarnation> trialTargets;
            for (const auto& [fingerprint, entry] : table.entries()) {
                RC_ASSERT(entry.stage != quarantine_stage::None);
                RC_ASSERT(entry.crashes >= entry.ended.size());
                RC_ASSERT((entry.stage == quarantine_stage::Suspect) == (entry.crashes == 1));
                if (entry.stage == quarantine_stage::Proven) {
                    RC_ASSERT(entry.trial == 0U);
                    RC_ASSERT(entry.crashes >= 3U);
                }
                if (entry.stage == quarantine_stage::Held && entry.trial != 0)
                    RC_ASSERT(trialTargets.insert(entry.trialTarget).second);
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
        }
    });
}
