/// @file
/// @brief Probes of addresses that accept connections, refuse them or don't respond, and watched addresses that close.
#include "buckthornrail/net/reachability.hpp"
#include "support/unresponsive_listener.hpp"

#include <catch2/catch.hpp>

using namespace buckthornrail;
using namespace buckthornrail::net;
using test_support::unresponsive_listener;

namespace {

struct probe_result {
    std::string address;
    reachability result;
    bool operator==(const probe_result&) const = default;
};

/// An event loop with a prober whose results are recorded.
struct probe_fixture {
    link::event_loop loop;
    std::vector<probe_result> results;
    reachability_prober prober { loop, [this](const std::string& address, reachability result) {
                                    results.push_back({ address, result });
                                } };

    /// @brief Runs `act` on the loop thread, then runs the loop for `time`.
    void run(milliseconds time, std::function<void()> act)
    {
        loop.post(std::move(act));
        loop.runAt(boot_clock::now() + time, [this] { loop.stop(); });
        loop.run();
    }
};

constexpr milliseconds runTime { 400 };

} // namespace

TEST_CASE("reachability: an open address is not reported, and not probed again while its result is cached", "[net]")
{
    const unresponsive_listener open;
    probe_fixture fixture;
    fixture.run(runTime, [&] {
        fixture.prober.probe(open.address());
        fixture.prober.probe(open.address());
    });
    CHECK(fixture.results.empty());
    CHECK(fixture.prober.probeCount() == 1);
}

TEST_CASE("reachability: a port without a listener is reported for every call, with one probe", "[net]")
{
    unresponsive_listener ended;
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

TEST_CASE("reachability: an address that doesn't respond to a SYN is silent", "[net]")
{
    unresponsive_listener full(0);
    full.fillBacklog();
    probe_fixture fixture;
    fixture.run(runTime, [&] { fixture.prober.probe(full.address()); });
    CHECK(fixture.results == std::vector<probe_result> { { full.address(), reachability::Silent } });
}

TEST_CASE("reachability: the end of a watched process is reported without a call of probe()", "[net]")
{
    unresponsive_listener watched;
    probe_fixture fixture;
    fixture.run(runTime, [&] {
        fixture.prober.watch(watched.address());
        fixture.loop.runAt(boot_clock::now() + runTime / 4, [&] { watched.stop(); });
    });
    CHECK(fixture.results == std::vector<probe_result> { { watched.address(), reachability::Refused } });
}
