/// @file
/// @brief Tests of the updates that sessions receive, and of announcements after an expired lease.
#include "app/controller/session_table.hpp"

#include <catch2/catch.hpp>

using namespace buckthornrail;
using namespace buckthornrail::app;

namespace {

constexpr milliseconds lease { 3000 };
constexpr link::link_number linkNumber = 7;
const steady_time begin = steady_time {} + std::chrono::hours(1);

link::session_announce announceOf(membership::instance_state state, bool wantsState)
{
    link::session_announce announce;
    announce.record.id = "s";
    announce.record.role = membership::instance_role::Sidecar;
    announce.record.incarnation = 1;
    announce.record.state = state;
    announce.wantsState = wantsState;
    return announce;
}

controller_state configured()
{
    controller_state state;
    state.apply(
        { "c", configuration::change_command { "c", 0, "", 0, R"([{"op":"add","path":"/models/m","value":{}}])" } });
    return state;
}

} // namespace

TEST_CASE("sessions: updates are sent only after a quorum's confirmation, and before the heartbeat's acknowledgement",
    "[sessions]")
{
    std::vector<link::message> sent;
    session_table table([&](auto, const auto& bytes) { sent.push_back(link::decode(bytes).value()); }, lease);
    const auto state = configured();
    table.announced(linkNumber, announceOf(membership::instance_state::Ready, true), begin);
    table.heartbeat(linkNumber, { 1 }, begin);
    table.pushAll(state);
    CHECK(sent.empty());
    table.beginConfirmation(1);
    table.heartbeat(linkNumber, { 2 }, begin); // arrived after the confirmation began, which doesn't acknowledge it
    table.confirmed(1, state);
    REQUIRE(sent.size() == 2);
    CHECK(std::get<link::configuration_page>(sent[0]).to == 1);
    CHECK(std::get<link::session_ack>(sent[1]).sequence == 1);
    CHECK(std::get<link::session_ack>(sent[1]).configuration == 1);
    table.confirmed(1, state);
    CHECK(sent.size() == 2);
}

TEST_CASE("sessions: a sidecar receives only the version of the configuration", "[sessions]")
{
    std::vector<link::message> sent;
    session_table table([&](auto, const auto& bytes) { sent.push_back(link::decode(bytes).value()); }, lease);
    table.announced(linkNumber, announceOf(membership::instance_state::Ready, false), begin);
    table.heartbeat(linkNumber, { 1 }, begin);
    table.beginConfirmation(1);
    table.confirmed(1, configured());
    REQUIRE(sent.size() == 1);
    CHECK(std::get<link::session_ack>(sent[0]).configuration == 1);
}

TEST_CASE("sessions: the earlier announcement of a paused process does not undo its loss", "[sessions]")
{
    session_table table([](auto, const auto&) {}, lease);
    controller_state state = configured();
    const auto announce = announceOf(membership::instance_state::Ready, false);
    table.announced(linkNumber, announce, begin);
    REQUIRE(table.missingTransitions(state, begin).size() == 1);
    state.apply({ "1", transition_batch { table.missingTransitions(state, begin) } });
    state.apply({ "2", transition_batch { { { announce.record, true } } } });
    REQUIRE(state.membership().find("s")->state == membership::instance_state::Lost);
    CHECK(table.missingTransitions(state, begin + lease).empty());
    table.heartbeat(linkNumber, { 2 }, begin + lease); // the process was resumed
    CHECK(table.missingTransitions(state, begin + lease).size() == 1);
}

TEST_CASE("sessions: entries that all reconnect at once receive their updates within a second", "[sessions]")
{
    // The largest supported fleet. Encoding the table of instances for each entry blocked a controller for many
    // seconds; entries switch to another controller before that, where the same would happen again.
    constexpr std::size_t entries = 390;
    constexpr std::size_t sidecars = 2600;
    constexpr std::chrono::seconds bound { 1 };
    std::size_t bytesSent = 0;
    session_table table([&](auto, const std::string& bytes) { bytesSent += bytes.size(); }, lease);
    controller_state state = configured();
    transition_batch batch;
    for (std::size_t i = 0; i < sidecars; ++i) {
        auto record = announceOf(membership::instance_state::Ready, false).record;
        record.id = "sidecar-" + std::to_string(i);
        record.linkAddress = "10.1.2.3:7000";
        batch.transitions.push_back({ record, false });
    }
    state.apply({ "1", batch });
    for (std::size_t i = 0; i < entries; ++i) {
        auto announce = announceOf(membership::instance_state::Ready, true);
        announce.record.id = "entry-" + std::to_string(i);
        table.announced(i, announce, begin);
        table.heartbeat(i, { 1 }, begin);
    }
    table.beginConfirmation(1);
    const auto started = boot_clock::now();
    table.confirmed(1, state);
    CHECK(boot_clock::now() - started < bound);
    CHECK(bytesSent > entries * sidecars);
}
