/// @file
/// @brief Addresses that take connections, refuse them, stay silent, or end while they are watched.
#include "buckthornrail/net/reachability.hpp"
#include "support/mute_listener.hpp"

#include <catch2/catch.hpp>

using namespace buckthornrail;
using namespace buckthornrail::net;
using test_support::mute_listener;

namespace {

struct told_verdict {
    std::string address;
    reachability found;
    bool operator==(const told_verdict&) const = default;
};

/// A loop with checks that notes what it is told.
struct bench {
    link::event_loop loop;
    std::vector<told_verdict> told;
    reachability_checks checks { loop, [this](const std::string& address, reachability found) {
                                    told.push_back({ address, found });
                                } };

    /// @brief Does something, and lets the loop run for a while.
    void run(milliseconds time, std::function<void()> act)
    {
        loop.post(std::move(act));
        loop.runAt(boot_clock::now() + time, [this] { loop.stop(); });
        loop.run();
    }
};

constexpr milliseconds longEnough { 400 };

} // namespace

TEST_CASE("reachability: who takes connections is not told of, and not dialled again at once", "[net]")
{
    const mute_listener open;
    bench bench;
    bench.run(longEnough, [&] {
        bench.checks.check(open.address());
        bench.checks.check(open.address());
    });
    CHECK(bench.told.empty());
    CHECK(bench.checks.trials() == 1);
}

TEST_CASE("reachability: a port without a listener is told of, each time that it is asked for", "[net]")
{
    mute_listener ended;
    const auto address = ended.address();
    ended.stop();
    bench bench;
    bench.run(longEnough, [&] {
        bench.checks.check(address);
        bench.loop.runAt(boot_clock::now() + longEnough / 4, [&] { bench.checks.check(address); });
    });
    CHECK(bench.told == std::vector<told_verdict>(2, { address, reachability::Refused }));
    CHECK(bench.checks.trials() == 1);
}

TEST_CASE("reachability: an address that answers no opening packet is silent", "[net]")
{
    mute_listener full(0);
    full.fill();
    bench bench;
    bench.run(longEnough, [&] { bench.checks.check(full.address()); });
    CHECK(bench.told == std::vector<told_verdict> { { full.address(), reachability::Silent } });
}

TEST_CASE("reachability: the end of a watched process is told of without a question", "[net]")
{
    mute_listener watched;
    bench bench;
    bench.run(longEnough, [&] {
        bench.checks.watch(watched.address());
        bench.loop.runAt(boot_clock::now() + longEnough / 4, [&] { watched.stop(); });
    });
    CHECK(bench.told == std::vector<told_verdict> { { watched.address(), reachability::Refused } });
}
