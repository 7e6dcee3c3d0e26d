/// @file
/// @brief Addresses that take connections, refuse them, stay silent, or end while they are watched.
#include "buckthornrail/net/reachability.hpp"
#include "support/mute_listener.hpp"

#include <catch2/catch.hpp>

using namespace buckthornrail;
using namespace buckthornrail::net;
using test_support::mute_listener;

namespace {

struct probe_result {
    std::string address;
    reachability result;
    bool operator==(const probe_result&) const = default;
};

/// A loop with checks that notes what it is told.
struct probe_fixture {
    link::event_loop loop;
    std::vector<probe_result> results;
    reachability_prober prober { loop, [this](const std::string& address, reachability result) {
                                    results.push_back({ address, result });
                                } };

    /// @brief Does something, and lets the loop run for a while.
    void run(milliseconds time, std::function<void()> act)
    {
        loop.post(std::move(act));
        loop.runAt(boot_clock::now() + time, [this] { loop.stop(); });
        loop.run();
    }
};

constexpr milliseconds runTime { 400 };

} // namespace

TEST_CASE("reachability: who takes connections is not told of, and not dialled again at once", "[net]")
{
    const mute_listener open;
    probe_fixture fixture;
    fixture.run(runTime, [&] {
        fixture.prober.probe(open.address());
        fixture.prober.probe(open.address());
    });
    CHECK(fixture.results.empty());
    CHECK(fixture.prober.probeCount() == 1);
}

TEST_CASE("reachability: a port without a listener is told of, each time that it is asked for", "[net]")
{
    mute_listener ended;
    const auto address = ended.address();
    ended.stop();
    probe_fixture fixture;
    fixture.run(runTime, [&] {
        fixture.prober.probe(address);
        fixture.loop.runAt(boot_clock::now() + runTime / 4, [&] { fixture.prober.probe(address); });
    });
    CHECK(fixture.results == std::vector<probe_result>(2, { address, reachability::Refused }));
    CHECK(fixture.prober.probeCount() == 1);
}

TEST_CASE("reachability: an address that answers no opening packet is silent", "[net]")
{
    mute_listener full(0);
    full.fill();
    probe_fixture fixture;
    fixture.run(runTime, [&] { fixture.prober.probe(full.address()); });
    CHECK(fixture.results == std::vector<probe_result> { { full.address(), reachability::Silent } });
}

TEST_CASE("reachability: the end of a watched process is told of without a question", "[net]")
{
    mute_listener watched;
    probe_fixture fixture;
    fixture.run(runTime, [&] {
        fixture.prober.watch(watched.address());
        fixture.loop.runAt(boot_clock::now() + runTime / 4, [&] { watched.stop(); });
    });
    CHECK(fixture.results == std::vector<probe_result> { { watched.address(), reachability::Refused } });
}
