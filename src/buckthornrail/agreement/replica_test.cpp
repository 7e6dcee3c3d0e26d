/// @file
/// @brief Tests of the replicated log: random schedules of faults, and single rules of the protocol.
#include "support/simulated_cluster.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace buckthornrail;
using namespace buckthornrail::agreement;
using test_support::crash_point;
using test_support::simulated_cluster;

namespace {

/// Checks that after the faults have ended a command is committed and applied at all nodes.
void checkRecovers(simulated_cluster& cluster, const std::string& command)
{
    cluster.heal();
    for (int round = 0; round < 60; ++round) {
        cluster.run(20);
        cluster.propose(command);
        cluster.run(20);
        const auto& nodes = cluster.nodes();
        const bool everywhere = std::all_of(nodes.begin(), nodes.end(), [&](const auto& node) {
            return std::find(node.applied.begin(), node.applied.end(), command) != node.applied.end();
        });
        if (everywhere)
            return;
    }
    FAIL("the command was not applied at all nodes after the faults had ended");
}

/// Loses a node's disk once all nodes are voters and up to date, so that a quorum of disks with all data remains.
void loseDiskWhenAllVote(simulated_cluster& cluster, std::size_t node)
{
    cluster.heal();
    for (int round = 0; round < 100; ++round) {
        cluster.run(20);
        const auto leader = cluster.leader();
        if (!leader)
            continue;
        const auto& members = cluster.nodes()[*leader].process->members();
        const auto isVoter = [&](const auto& peer) {
            return std::any_of(members.begin(), members.end(),
                [&](const auto& member) { return member.id == peer.id && member.voter; });
        };
        if (std::all_of(cluster.nodes().begin(), cluster.nodes().end(), isVoter)) {
            cluster.run(50);
            cluster.loseDisk(node);
            return;
        }
    }
}

/// Injects a fault or performs an action, then proposes a command.
/// @param draw random number that selects the action and the node
void injectFault(simulated_cluster& cluster, std::uint32_t draw, int number, bool canLoseDisks)
{
    const std::size_t node = draw / 16 % cluster.nodes().size();
    switch (draw % 12) {
    case 0:
        cluster.crash(node, crash_point::BeforePersist);
        break;
    case 1:
        cluster.crash(node, crash_point::AfterPersist);
        break;
    case 2:
        cluster.crash(node, crash_point::AfterSend);
        break;
    case 3:
    case 4:
        cluster.restart(node);
        break;
    case 5:
        cluster.setIsolated(node, true);
        break;
    case 6:
        cluster.setIsolated(node, false);
        break;
    case 7:
        cluster.setLossProbability(draw / 256 % 3 * 0.15);
        break;
    case 8:
        cluster.compact(node);
        break;
    case 9:
        cluster.read();
        break;
    case 10:
        if (canLoseDisks)
            loseDiskWhenAllVote(cluster, node);
        break;
    default:
        break;
    }
    cluster.propose("command-" + std::to_string(number));
    cluster.run(static_cast<int>(draw / 4096 % 40));
}

/// Generates a schedule of faults: the random numbers for injectFault().
rc::Gen<std::vector<std::uint32_t>> schedule()
{
    return rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 1U << 30U));
}

std::vector<std::string> distinctViolations(const simulated_cluster& cluster)
{
    auto all = cluster.violations();
    all.erase(std::unique(all.begin(), all.end()), all.end());
    return all;
}

} // namespace

TEST_CASE("replica: committed commands never change under any schedule of faults", "[agreement][property]")
{
    rc::prop("three replicas", [](std::uint64_t seed) {
        const auto draws = *schedule();
        simulated_cluster cluster(3, seed);
        for (std::size_t i = 0; i < draws.size(); ++i)
            injectFault(cluster, draws[i], static_cast<int>(i), false);
        RC_ASSERT(distinctViolations(cluster).empty());
        checkRecovers(cluster, "last");
        RC_ASSERT(distinctViolations(cluster).empty());
    });
    rc::prop("five replicas", [](std::uint64_t seed) {
        const auto draws = *schedule();
        replica_options options;
        options.initialElectionTimeoutMax = milliseconds(seed % 2 * 300); // in half of the cases
        simulated_cluster cluster(5, seed, options);
        for (std::size_t i = 0; i < draws.size(); ++i)
            injectFault(cluster, draws[i], static_cast<int>(i), true);
        checkRecovers(cluster, "last");
        RC_ASSERT(distinctViolations(cluster).empty());
    });
}

TEST_CASE("replica: the checker notices when votes are not persisted", "[agreement][checker]")
{
    // With the hard state not written to disk, some schedule must lead to two leaders in a term or to a changed
    // command. Otherwise the checker misses such violations.
    bool noticed = false;
    for (std::uint64_t seed = 1; seed <= 200 && !noticed; ++seed) {
        simulated_cluster cluster(3, seed);
        cluster.skipHardState = true;
        std::mt19937_64 random(seed);
        for (int i = 0; i < 60; ++i)
            injectFault(cluster, static_cast<std::uint32_t>(random()), i, false);
        noticed = !cluster.violations().empty();
    }
    CHECK(noticed);
}

TEST_CASE("replica: confirmed reads include every command committed before the request", "[agreement]")
{
    simulated_cluster cluster(3, 7);
    for (int round = 0; round < 200; ++round) {
        cluster.propose("c" + std::to_string(round));
        if (round % 20 == 5)
            cluster.setIsolated(*cluster.leader(), true);
        if (round % 20 == 15)
            cluster.heal();
        cluster.read();
        cluster.run(10);
    }
    CHECK(cluster.violations().empty());
    CHECK(cluster.confirmedReadCount() > 20);
}

TEST_CASE("replica: a leader partitioned from its quorum steps down", "[agreement]")
{
    simulated_cluster cluster(3, 11);
    const auto old = cluster.leader();
    REQUIRE(old);
    cluster.setIsolated(*old, true);
    cluster.run(400);
    CHECK(cluster.nodes()[*old].process->role() != replica_role::Leader);
    CHECK(cluster.leader());
}

TEST_CASE("replica: a member that returns after a long partition does not depose the leader", "[agreement]")
{
    simulated_cluster cluster(3, 13);
    const auto leader = *cluster.leader();
    const std::size_t other = (leader + 1) % 3;
    const auto term = cluster.nodes()[leader].process->term();
    cluster.setIsolated(other, true);
    cluster.run(1000);
    cluster.setIsolated(other, false);
    cluster.run(300);
    CHECK(cluster.leader() == leader);
    CHECK(cluster.nodes()[leader].process->term() == term);
}

TEST_CASE("replica: a lost disk is replaced, and a second member may fail right after the replacement", "[agreement]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        simulated_cluster cluster(3, seed);
        cluster.propose("kept");
        cluster.run(50);
        const std::size_t lost = seed % 3;
        cluster.loseDisk(lost);
        // The replacement is complete when the replica with the blank disk is a voter. Until then committed commands
        // must remain available.
        bool repaired = false;
        for (int round = 0; round < 200 && !repaired; ++round) {
            cluster.run(10);
            const auto leader = cluster.leader();
            if (!leader)
                continue;
            const auto& members = cluster.nodes()[*leader].process->members();
            const auto& id = cluster.nodes()[lost].id;
            repaired = members.size() == 3 && std::any_of(members.begin(), members.end(), [&](const auto& member) {
                return member.id == id && member.voter;
            });
        }
        REQUIRE(repaired);
        cluster.crash((lost + 1) % 3, crash_point::AfterPersist);
        cluster.run(600);
        cluster.propose("after");
        cluster.run(100);
        const auto& applied = cluster.nodes()[lost].applied;
        CHECK(std::find(applied.begin(), applied.end(), "kept") != applied.end());
        CHECK(std::find(applied.begin(), applied.end(), "after") != applied.end());
        CHECK(cluster.violations().empty());
    }
}

TEST_CASE(
    "replica: committed commands survive the loss of a minority of disks while all other members crash", "[agreement]")
{
    const std::size_t members = GENERATE(3U, 5U);
    const std::size_t maxLostDisks = (members - 1) / 2;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(members, seed);
        simulated_cluster cluster(members, seed);
        // With message loss some members lag, so the last command is on a bare quorum when it is acknowledged.
        cluster.setLossProbability(0.3);
        for (int i = 0; i < 5; ++i) {
            cluster.propose("early-" + std::to_string(i));
            cluster.run(20);
        }
        const std::size_t before = cluster.committed().size();
        cluster.propose("last");
        for (int step = 0; step < 400 && cluster.committed().size() == before; ++step)
            cluster.run(1);
        REQUIRE(cluster.committed().size() > before);
        const auto acknowledged = cluster.committed();
        // All members crash as soon as the command is committed. Some lose their disks; for every second seed the
        // leader is one of them.
        const auto leader = cluster.leader();
        const std::size_t first = leader && seed % 2 == 0 ? *leader : seed % members;
        for (std::size_t i = 0; i < members; ++i)
            cluster.crash((first + i) % members, i % 2 == 0 ? crash_point::BeforePersist : crash_point::AfterPersist);
        for (std::size_t i = 0; i < maxLostDisks; ++i)
            cluster.loseDisk((first + i) % members);
        cluster.heal();
        const auto holdsAll = [&] {
            return std::all_of(cluster.nodes().begin(), cluster.nodes().end(), [&](const auto& node) {
                return std::all_of(acknowledged.begin(), acknowledged.end(), [&](const auto& command) {
                    return std::find(node.applied.begin(), node.applied.end(), command) != node.applied.end();
                });
            });
        };
        bool isRecovered = false;
        for (int round = 0; round < 200 && !isRecovered; ++round) {
            cluster.run(20);
            cluster.propose("after-" + std::to_string(round));
            isRecovered = holdsAll();
        }
        CHECK(isRecovered);
        CHECK(cluster.violations().empty());
    }
}

TEST_CASE("replica: a member hundreds of commands behind catches up through a snapshot", "[agreement]")
{
    simulated_cluster cluster(3, 17);
    const auto leader = *cluster.leader();
    const std::size_t behind = (leader + 1) % 3;
    cluster.crash(behind, crash_point::AfterPersist);
    for (int i = 0; i < 600; ++i) {
        cluster.propose("c" + std::to_string(i));
        cluster.run(1);
    }
    cluster.run(50);
    for (std::size_t node = 0; node < 3; ++node)
        cluster.compact(node);
    cluster.restart(behind);
    cluster.run(300);
    CHECK(cluster.nodes()[behind].applied == cluster.nodes()[leader].applied);
    CHECK(cluster.nodes()[behind].process->snapshotIndex() > 500);
    CHECK(cluster.violations().empty());
}

TEST_CASE("replica: members that start one after another elect a leader soon after a quorum is up", "[agreement]")
{
    constexpr int stepsPerSecond = 100;
    replica_options options;
    options.initialElectionTimeoutMax = milliseconds(250);
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        simulated_cluster cluster(3, seed, options);
        cluster.run(stepsPerSecond);
        for (std::size_t node = 0; node < 3; ++node)
            cluster.crash(node, crash_point::None);
        cluster.restart(0);
        cluster.run(stepsPerSecond / 3); // its first elections find no other member
        cluster.restart(1);
        // Two initial election timeouts of at most 250 ms each. The usual ones are at least 700 ms.
        cluster.run(stepsPerSecond / 2);
        CHECK(cluster.leader());
        CHECK(cluster.violations().empty());
    }
}

TEST_CASE("replica: leadership is transferred without waiting for an election timeout", "[agreement]")
{
    simulated_cluster cluster(3, 19);
    const auto old = *cluster.leader();
    cluster.nodes()[old].process->transferLeadership();
    cluster.run(10);
    const auto successor = cluster.leader();
    REQUIRE(successor);
    CHECK(*successor != old);
}

TEST_CASE("replica: members change by one voter at a time, and a log is initialized only once", "[agreement]")
{
    simulated_cluster cluster(3, 23);
    cluster.run(100);
    auto& leader = *cluster.nodes()[*cluster.leader()].process;
    CHECK_FALSE(leader.initialize("again", steady_time {}));
    const auto result = leader.proposeMembers({ member { leader.self(), "a", true } });
    REQUIRE_FALSE(result);
    CHECK(result.error().reason == "a membership change may add or remove only one voter");
}

TEST_CASE("replica: a faulted replica sends no messages", "[agreement]")
{
    simulated_cluster cluster(3, 29);
    const auto leader = *cluster.leader();
    const std::size_t other = (leader + 1) % 3;
    auto& faulted = *cluster.nodes()[other].process;
    faulted.markFaulted();
    cluster.propose("x");
    cluster.run(100);
    CHECK(faulted.role() == replica_role::Faulted);
    CHECK(faulted.takeEffects().messages.empty());
    CHECK(cluster.nodes()[leader].applied.back() == "x");
}

namespace {

constexpr member_id selfId = 1;
constexpr member_id leaderId = 2;
constexpr member_id otherId = 3;

/// @return a voter of three whose log holds only the membership entry
replica makeMemberOfThree(steady_time now)
{
    persistent_state state;
    state.hard = { 1, 0 };
    log_entry first;
    first.index = 1;
    first.term = 1;
    first.kind = entry_kind::Members;
    first.members = { { selfId, "a", true }, { leaderId, "b", true }, { otherId, "c", true } };
    state.entries = { first };
    return { selfId, state, replica_options {}, 7, now };
}

/// @return whether the replica requested votes since the last call
bool requestsVotes(replica& subject)
{
    const auto effects = subject.takeEffects();
    return std::any_of(effects.messages.begin(), effects.messages.end(),
        [](const auto& message) { return std::holds_alternative<vote_request>(message.body); });
}

} // namespace

TEST_CASE("replica: parts of a long message from the leader postpone the election timeout", "[agreement]")
{
    const replica_options options;
    const milliseconds step { 100 };
    steady_time now {};
    replica follower = makeMemberOfThree(now);
    follower.receive({ leaderId, selfId, 1, append_request { 1, 1, 1, 1, {} } }, now);
    REQUIRE(follower.leader() == leaderId);
    // Three times the longest election timeout.
    for (milliseconds passed { 0 }; passed < 3 * options.electionTimeoutMax; passed += step) {
        now += step;
        follower.recordContact(leaderId, now);
        follower.tick(now);
        CHECK_FALSE(requestsVotes(follower));
    }
    // Parts of messages from other members don't count as contact with the leader.
    for (milliseconds passed { 0 }; passed < options.electionTimeoutMax; passed += step) {
        now += step;
        follower.recordContact(otherId, now);
        follower.tick(now);
    }
    CHECK(requestsVotes(follower));
}

TEST_CASE("replica: a leader stays while parts of its long messages are acknowledged, and steps down without contact",
    "[agreement]")
{
    const replica_options options;
    const milliseconds step { 100 };
    steady_time now {};
    replica leader = makeMemberOfThree(now);
    leader.receive({ leaderId, selfId, 1, election_request {} }, now);
    leader.receive({ otherId, selfId, 2, vote_reply { true, false } }, now);
    REQUIRE(leader.role() == replica_role::Leader);
    for (milliseconds passed { 0 }; passed < 3 * options.electionTimeoutMax; passed += step) {
        now += step;
        leader.recordContact(otherId, now);
        leader.tick(now);
        CHECK(leader.role() == replica_role::Leader);
    }
    for (milliseconds passed { 0 }; passed <= options.electionTimeoutMax; passed += step) {
        now += step;
        leader.tick(now);
    }
    CHECK(leader.role() == replica_role::Follower);
}
