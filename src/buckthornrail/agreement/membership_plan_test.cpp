/// @file
/// @brief Tests of the decision on members, and of the life of clusters whose machines are lost and replaced.
#include "support/cluster_lifetime.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace buckthornrail;
using namespace buckthornrail::agreement;
using test_support::cluster_lifetime;
using test_support::replacement;

namespace {

constexpr steady_time testNow = steady_time {} + std::chrono::hours(1);
constexpr milliseconds shortSilence { 1000 }; ///< of a restart
constexpr milliseconds longSilence { 20000 };
constexpr milliseconds joinedBefore { 500 };

/// @return a reachable voter; the first one leads
member_state voter(member_id id)
{
    return { { id, "node" + std::to_string(id), true }, id == 1, true, true, false, false, true, steady_time {},
        testNow };
}

/// @return a learner that joined a while ago and has caught up
member_state learner(member_id id)
{
    auto state = voter(id);
    state.subject.voter = false;
    state.knownSince = testNow - joinedBefore;
    return state;
}

member_state silent(member_state state, milliseconds silence)
{
    state.isReachable = false;
    state.hasAnswered = false;
    state.heardAt = testNow - silence;
    return state;
}

member_state leaving(member_state state)
{
    state.isLeaving = true;
    return state;
}

/// @return "kind id because reason", or "none"
std::string planOf(const std::vector<member_state>& members, std::size_t requiredVoters,
    const std::vector<joining_replica>& joining = {})
{
    const auto change = planChange(members, joining, requiredVoters, testNow);
    if (!change)
        return "none";
    return std::string(nameOf(change->kind)) + " " + std::to_string(change->subject.id) + " "
        + std::string(nameOf(change->reason));
}

milliseconds catchUpTimeOf(std::size_t machines) { return milliseconds(machines == 3 ? 4000 : 6000); }

/// Checks that the invariant held and that the cluster still commits, also after as many disks as tolerated are lost
/// right after a commit while all other machines crash.
void checkLife(cluster_lifetime& life)
{
    REQUIRE(life.settle());
    REQUIRE(life.commit("before the final fault", milliseconds(10000)));
    std::vector<std::size_t> withoutDisk { life.leader() };
    for (const std::size_t machine : life.machines()) {
        if (withoutDisk.size() < life.toleratedLosses() && machine != withoutDisk.front())
            withoutDisk.push_back(machine);
    }
    life.crashAll(milliseconds(800), withoutDisk);
    CHECK(life.commit("after the final fault", milliseconds(15000)));
    CHECK(life.allCatchUp(milliseconds(15000)));
    CHECK_THAT(life.failures(), Catch::Equals(std::vector<std::string> {}));
    CHECK_THAT(life.cluster().violations(), Catch::Equals(std::vector<std::string> {}));
    CHECK(life.checkedSteps() > 0);
}

} // namespace

TEST_CASE("membership plan: which change is due", "[membership_plan]")
{
    const std::vector<member_state> three { voter(1), voter(2), voter(3) };
    CHECK(planOf(three, 3) == "none");
    CHECK(planOf(three, 3, { { 4, "node4" } }) == "add_learner 4 joining");
    CHECK(planOf(three, 3, { { 2, "node2" } }) == "none");
    CHECK(planOf({ voter(1), voter(2), voter(3), learner(4) }, 3) == "promote_learner 4 caught_up");
    CHECK(planOf({ voter(1), voter(2), voter(3), silent(learner(4), shortSilence) }, 3) == "none");
    CHECK(planOf({ voter(1), voter(2), voter(3), silent(learner(4), longSilence) }, 3) == "remove_learner 4 silent");
    CHECK(planOf({ voter(1), voter(2), voter(3), leaving(learner(4)) }, 3) == "remove_learner 4 leaving");
}

TEST_CASE(
    "membership plan: a silent voter is removed only if enough remain, whatever their number", "[membership_plan]")
{
    const auto dead = silent(voter(2), longSilence);
    CHECK(planOf({ voter(1), dead, voter(3) }, 3) == "none");
    CHECK(planOf({ voter(1), dead, voter(3), voter(4) }, 3) == "remove_voter 2 silent");
    CHECK(planOf({ voter(1), dead, voter(3), voter(4), voter(5) }, 3) == "remove_voter 2 silent");
    CHECK(planOf({ voter(1), dead, voter(3), voter(4), voter(5) }, 5) == "none");
    CHECK(planOf({ voter(1), dead, voter(3), voter(4), voter(5), voter(6) }, 5) == "remove_voter 2 silent");
    CHECK(planOf({ voter(1), silent(voter(2), shortSilence), voter(3), voter(4) }, 3) == "none");
    // Its own leader is never removed.
    CHECK(planOf({ silent(voter(1), longSilence), voter(2), voter(3), voter(4) }, 3) == "none");
}

TEST_CASE("membership plan: removal goes before admission", "[membership_plan]")
{
    const auto dead = silent(voter(2), longSilence);
    CHECK(planOf({ voter(1), dead, voter(3), voter(4), learner(5) }, 3, { { 6, "node6" } }) == "remove_voter 2 silent");
    // Without a surplus, a learner must be ready to take the place.
    CHECK(planOf({ voter(1), dead, voter(3), learner(4) }, 3) == "remove_voter 2 silent");
    CHECK(planOf({ voter(1), voter(3), learner(4) }, 3) == "promote_learner 4 caught_up");
    CHECK(planOf({ voter(1), dead, silent(voter(3), longSilence), voter(5), voter(6), learner(4), learner(7) }, 5)
        == "remove_voter 2 silent");
    CHECK(planOf({ voter(1), silent(voter(3), longSilence), voter(5), voter(6), learner(4), learner(7) }, 5)
        == "promote_learner 4 caught_up");
}

TEST_CASE("membership plan: a successor doesn't vote beside the dead voter that it replaces", "[membership_plan]")
{
    // The voter died just before the learner joined, and still counts as reachable.
    auto dying = voter(2);
    dying.heardAt = testNow - 2 * joinedBefore;
    CHECK(planOf({ voter(1), dying, voter(3), learner(4) }, 3) == "none");
    CHECK(planOf({ voter(1), silent(voter(2), shortSilence), voter(3), learner(4) }, 3) == "none");
    // The voter that is missing was heard after the learner had joined, so another one is succeeded.
    CHECK(planOf({ voter(1), silent(voter(2), joinedBefore / 2), voter(3), learner(4) }, 3)
        == "promote_learner 4 caught_up");
    CHECK(planOf({ voter(1), dying, voter(3), voter(5), learner(4) }, 3) == "none");
    // Too few voters need every one.
    CHECK(planOf({ voter(1), dying, voter(3), learner(4) }, 5) == "promote_learner 4 caught_up");
}

TEST_CASE("membership plan: a leaving voter is removed only if enough remain", "[membership_plan]")
{
    CHECK(planOf({ voter(1), leaving(voter(2)), voter(3) }, 3) == "none");
    CHECK(planOf({ voter(1), leaving(voter(2)), voter(3), voter(4) }, 3) == "remove_voter 2 leaving");
    CHECK(planOf({ voter(1), leaving(voter(2)), leaving(voter(3)), voter(4) }, 3) == "remove_voter 2 leaving");
    // It still votes until its successor does.
    CHECK(planOf({ voter(1), leaving(voter(2)), voter(3), learner(4) }, 3) == "promote_learner 4 caught_up");
    CHECK(planOf({ voter(1), leaving(voter(2)), silent(voter(3), shortSilence), learner(4) }, 3) == "none");
    // Once it has ended, its place is taken at once.
    const auto left = silent(leaving(voter(2)), joinedBefore / 2);
    CHECK(planOf({ voter(1), left, voter(3), learner(4) }, 3) == "remove_voter 2 left");
    CHECK(planOf({ voter(1), left, voter(3) }, 3) == "none");
    CHECK(planOf({ voter(1), voter(2), leaving(learner(4)) }, 3) == "remove_learner 4 leaving");
    CHECK(shouldReleaseVote(
        std::vector<member> { { 1, "a", true }, { 2, "b", true }, { 3, "c", true }, { 4, "d", true } }, 2, 3));
    CHECK_FALSE(shouldReleaseVote(std::vector<member> { { 1, "a", true }, { 2, "b", true }, { 3, "c", true } }, 2, 3));
    CHECK_FALSE(shouldReleaseVote(
        std::vector<member> { { 1, "a", true }, { 2, "b", false }, { 3, "c", true }, { 4, "d", true } }, 2, 2));
}

TEST_CASE("membership plan: a listed voter is removed only with its disk", "[membership_plan]")
{
    auto dead = silent(voter(2), longSilence);
    dead.isListed = true;
    CHECK(planOf({ voter(1), dead, voter(3), voter(4) }, 3) == "none");
    CHECK(planOf({ voter(1), leaving(dead), voter(3), voter(4) }, 3) == "none");
    auto blank = learner(5);
    blank.subject.address = dead.subject.address;
    CHECK(planOf({ voter(1), dead, voter(3), blank }, 3) == "remove_voter 2 disk_replaced");
}

TEST_CASE("membership plan: a removal needs a reachable quorum of both sets", "[membership_plan]")
{
    const auto dead = silent(voter(2), longSilence);
    CHECK(planOf({ voter(1), dead, silent(voter(3), shortSilence), voter(4) }, 3) == "none");
    CHECK(planOf({ voter(1), dead, silent(voter(3), longSilence), voter(4), voter(5) }, 3) == "remove_voter 2 silent");
}

TEST_CASE("membership plan: a new leader counts only voters that have answered it", "[membership_plan]")
{
    auto unheard = voter(2);
    unheard.hasAnswered = false;
    auto other = unheard;
    other.subject = voter(3).subject;
    CHECK(planOf({ voter(1), unheard, other, voter(4), voter(5), leaving(voter(6)) }, 3) == "remove_voter 6 leaving");
    CHECK(planOf({ voter(1), unheard, other, voter(4), leaving(voter(6)) }, 3) == "none");
}

TEST_CASE("membership plan: a lost disk is replaced at its address", "[membership_plan]")
{
    auto blank = learner(4);
    blank.subject.address = "node2";
    CHECK(planOf({ voter(1), voter(2), voter(3), blank }, 3) == "remove_voter 2 disk_replaced");
    CHECK(planOf({ voter(1), voter(3), blank }, 3) == "promote_learner 4 caught_up");
    // Until it has caught up, removing the old member would only leave fewer voters.
    auto behind = blank;
    behind.isCaughtUp = false;
    CHECK(planOf({ voter(1), voter(2), voter(3), behind }, 3) == "none");
    CHECK(planOf({ voter(1), voter(2), voter(3), silent(blank, shortSilence) }, 3) == "none");
    auto replaced = blank;
    replaced.subject.voter = true;
    CHECK(planOf({ voter(1), voter(2), voter(3), replaced }, 3) == "remove_voter 2 disk_replaced");
    // A full set: room is made first.
    CHECK(planOf({ voter(1), voter(2), voter(3), voter(5), voter(6), voter(7), voter(8), blank }, 3)
        == "remove_voter 2 disk_replaced");
    // The disk was lost twice.
    auto second = blank;
    second.subject.id = 5;
    CHECK(planOf({ voter(1), voter(2), voter(3), blank, second }, 3) == "remove_voter 2 disk_replaced");
    CHECK(planOf({ voter(1), voter(3), blank, second }, 3) == "promote_learner 5 caught_up");
}

TEST_CASE("membership plan: voters and learners are bounded", "[membership_plan]")
{
    std::vector<member_state> seven;
    for (member_id id = 1; id <= 7; ++id)
        seven.push_back(voter(id));
    auto more = seven;
    more.push_back(learner(8));
    CHECK(planOf(more, 3) == "none");
    CHECK(planOf(more, 7) == "promote_learner 8 caught_up");
    for (member_id id = 9; id <= 15; ++id)
        more.push_back(learner(id));
    CHECK(planOf(more, 3, { { 16, "node16" } }) == "none");
}

// Replaced machines stayed voters, so that the next disk loss that must be borne left no quorum for good.
TEST_CASE("membership plan: machines are replaced in a row, then a disk is lost", "[membership_plan]")
{
    const std::size_t machines = GENERATE(3U, 5U, 7U);
    const auto how = GENERATE(replacement::Planned, replacement::Killed);
    const auto gap = GENERATE(milliseconds(1000), milliseconds(4000), milliseconds(10000));
    const std::size_t replaced = GENERATE(1U, 2U, 3U, 4U);
    CAPTURE(machines, how == replacement::Planned, gap.count(), replaced);
    cluster_lifetime life(machines, machines * 100 + replaced, catchUpTimeOf(machines));
    for (std::size_t count = 0; count < replaced; ++count) {
        // More losses at once than are tolerated wait for their turn.
        while (how == replacement::Killed && life.lostCount() >= life.toleratedLosses())
            life.run(milliseconds(100));
        const auto present = life.machines();
        life.replaceTogether({ count % 2 == 0 ? present.back() : life.leader() }, how, milliseconds(200));
        life.run(gap);
    }
    checkLife(life);
}

TEST_CASE("membership plan: machines are replaced at once", "[membership_plan]")
{
    const std::size_t machines = GENERATE(3U, 5U, 7U);
    const auto how = GENERATE(replacement::Planned, replacement::Killed);
    const std::size_t replaced = GENERATE(1U, 2U, 3U, 4U);
    const bool withLeader = GENERATE(true, false);
    CAPTURE(machines, how == replacement::Planned, replaced, withLeader);
    cluster_lifetime life(machines, machines * 10 + replaced, catchUpTimeOf(machines));
    if (replaced > (how == replacement::Killed ? life.toleratedLosses() : machines))
        return;
    std::vector<std::size_t> chosen;
    if (withLeader)
        chosen.push_back(life.leader());
    for (const std::size_t machine : life.machines()) {
        if (chosen.size() < replaced && machine != life.leader())
            chosen.push_back(machine);
    }
    life.replaceTogether(chosen, how, milliseconds(200));
    checkLife(life);
}

TEST_CASE("membership plan: successors are replaced in turn until no first machine is left", "[membership_plan]")
{
    const std::size_t machines = GENERATE(3U, 5U);
    cluster_lifetime life(machines, 5, catchUpTimeOf(machines));
    for (std::size_t round = 0; round < 2 * machines; ++round) {
        life.replaceTogether({ life.machines().front() }, round % 3 == 0 ? replacement::Killed : replacement::Planned,
            milliseconds(1000));
        REQUIRE(life.settle());
    }
    CHECK(life.machines().front() >= machines);
    checkLife(life);
}

TEST_CASE("membership plan: a voter that was removed while it was frozen comes back", "[membership_plan]")
{
    cluster_lifetime life(3, 9, catchUpTimeOf(3));
    const std::size_t frozen = (life.leader() + 1) % 3;
    life.replaceTogether({ (life.leader() + 2) % 3 }, replacement::Planned, milliseconds(0));
    life.run(milliseconds(1500)); // the successor votes
    life.freeze(frozen, milliseconds(4000));
    life.run(milliseconds(3900));
    const auto& changes = life.cluster().changes();
    const auto isRemoval = [&](const membership_change& change) {
        return change.kind == change_kind::RemoveVoter && change.subject.id == life.cluster().nodes()[frozen].id;
    };
    CHECK(std::any_of(changes.begin(), changes.end(), isRemoval));
    checkLife(life);
    CHECK(life.cluster().nodes()[frozen].process->isVoter(life.cluster().nodes()[frozen].id));
}

TEST_CASE("membership plan: the check notices when dead voters are kept", "[membership_plan][checker]")
{
    constexpr std::size_t neverRemoves = 10;
    cluster_lifetime life(3, 1, catchUpTimeOf(3), neverRemoves);
    for (int round = 0; round < 2; ++round) {
        life.replaceTogether({ life.machines().front() }, replacement::Killed, milliseconds(200));
        life.run(milliseconds(10000));
    }
    CHECK_FALSE(life.failures().empty());
}

namespace {

/// Lets one thing happen that the tolerated losses allow now.
/// @param draw random number that selects it
void injectEvent(cluster_lifetime& life, std::uint32_t draw)
{
    constexpr std::uint32_t kinds = 12;
    const auto present = life.machines();
    const std::size_t machine = draw / kinds % 2 == 0 ? present[draw / 64 % present.size()] : life.leader();
    const milliseconds duration(200 + draw / 1024 % 5000);
    const bool canLose = life.mayLose();
    if (life.isOut(machine))
        return;
    switch (draw % kinds) {
    case 0:
    case 1:
        life.replaceTogether({ machine }, replacement::Planned, milliseconds(0));
        return;
    case 2:
    case 3:
        if (canLose)
            life.replaceTogether({ machine }, replacement::Killed, duration / 2);
        return;
    case 4:
        if (canLose)
            life.crash(machine, duration);
        return;
    case 5:
        if (canLose)
            life.crash(machine, duration, true);
        return;
    case 6:
        if (canLose)
            life.freeze(machine, duration);
        return;
    case 7:
        if (canLose)
            life.cutOff(machine, duration);
        return;
    case 8:
        if (life.lostCount() == 0 && canLose)
            life.crashAll(milliseconds(800));
        return;
    case 9:
        if (life.lostCount() == 0 && canLose)
            life.split(duration);
        return;
    case 10:
        life.cluster().compact(machine);
        return;
    default:
        life.cluster().propose("command-" + std::to_string(draw));
        return;
    }
}

} // namespace

TEST_CASE("membership plan: a quorum is left after every step of any life", "[membership_plan][property]")
{
    rc::prop("three, five or seven machines", [](std::uint64_t seed) {
        const std::size_t machines = 3 + 2 * (seed % 3);
        const auto draws = *rc::gen::resize(
            12, rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 1U << 30U)));
        cluster_lifetime life(machines, seed, catchUpTimeOf(machines));
        for (const std::uint32_t draw : draws) {
            injectEvent(life, draw);
            life.run(milliseconds(500 + draw / 4096 % 4000));
        }
        RC_ASSERT(life.settle());
        RC_ASSERT(life.commit("last", milliseconds(10000)));
        RC_ASSERT(life.allCatchUp(milliseconds(15000)));
        for (const auto& failure : life.failures())
            RC_FAIL(failure);
        for (const auto& violation : life.cluster().violations())
            RC_FAIL(violation);
    });
}
