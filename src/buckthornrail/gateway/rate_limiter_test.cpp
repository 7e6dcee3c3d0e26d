/// @file
/// @brief Load pattern: one target in need, and many gateways that would each send it more than it takes from all.
#include "buckthornrail/gateway/rate_limiter.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <rapidcheck/catch.h>
#include <vector>

using namespace buckthornrail;
using namespace buckthornrail::gateway;

namespace {

constexpr milliseconds window { 4000 };
/// What a target may get in any window, under a limit: half as much again as it takes, and five.
double allowed(double perSecond) { return 1.5 * perSecond * 4 + 5; }

/// Gateways that share a limit and each have callers enough.
struct gateways {
    std::vector<rate_limiter> limits;
    std::vector<steady_time> sent;
    std::mt19937_64 random;

    gateways(std::size_t count, double perSecond, std::uint64_t seed, steady_time now)
        : random(seed)
    {
        std::uniform_real_distribution<double> phase(0, 1);
        for (std::size_t at = 0; at < count; ++at)
            limits.emplace_back(perSecond, seed, phase(random), gateway_share { count, at }, now);
    }

    /// Callers come as they do, on average every so many milliseconds at each gateway.
    void run(steady_time from, milliseconds time, double callMs)
    {
        std::exponential_distribution<double> pause(1 / callMs);
        for (auto& one : limits) {
            for (double ms = pause(random); ms < static_cast<double>(time.count()); ms += pause(random)) {
                const auto now = from + std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000));
                if (!one.maySend(now))
                    continue;
                one.noteSent(now);
                sent.push_back(now);
            }
        }
    }

    /// @return the most requests in one window
    std::size_t most()
    {
        std::sort(sent.begin(), sent.end());
        std::size_t found = 0;
        for (auto first = sent.begin(); first != sent.end(); ++first) {
            const auto end = std::lower_bound(first, sent.end(), *first + window);
            found = std::max(found, static_cast<std::size_t>(end - first));
        }
        return found;
    }
};

const steady_time start = steady_time {} + std::chrono::hours(1);

} // namespace

// Guards against shares that sum up to more than the limit: the first incident's bound, for any number of gateways.
TEST_CASE("send limit: gateways with callers enough never exceed what a target takes", "[rate_limiter]")
{
    rc::prop("any limit, any number of gateways, pauses before a burst", [] {
        const auto count = *rc::gen::inRange<std::size_t>(1, 80);
        const double limit = static_cast<double>(*rc::gen::inRange(0, 3000)) / 100;
        const auto idle = milliseconds(*rc::gen::inRange(0, 20000));
        gateways all(count, limit, *rc::gen::arbitrary<std::uint64_t>(), start);
        all.run(start + idle, milliseconds(12000), 20);
        RC_ASSERT(static_cast<double>(all.most()) <= allowed(std::max(limit, 0.1)));
    });
}

// Guards against a fraction of a request that nobody sends, as no gateway's share is a whole one.
TEST_CASE("send limit: a limit far under a request a second for each gateway is used all the same", "[rate_limiter]")
{
    gateways all(20, 0.3, 5, start);
    all.run(start, milliseconds(100000), 50);
    CHECK(all.sent.size() >= 24); // of 30
    CHECK(all.sent.size() <= 33);
}

TEST_CASE("send limit: what a target takes is used where all gateways have callers", "[rate_limiter]")
{
    gateways all(5, 12, 5, start);
    all.run(start, milliseconds(60000), 100);
    CHECK(all.sent.size() >= 650); // of 720
    CHECK(all.sent.size() <= 730);
}

// Guards against requests that were saved up under a higher limit, or waits that were set under a lower one.
TEST_CASE("send limit: it falls and rises at once", "[rate_limiter]")
{
    gateways all(10, 20, 5, start);
    all.run(start, milliseconds(10000), 20);
    all.sent.clear();
    const auto fell = start + milliseconds(10000);
    for (std::size_t at = 0; at < all.limits.size(); ++at)
        all.limits[at].setRate(0.5, { 10, at }, fell);
    all.run(fell, milliseconds(20000), 20);
    CHECK(static_cast<double>(all.most()) <= allowed(0.5));
    all.sent.clear();
    const auto rose = fell + milliseconds(20000);
    for (std::size_t at = 0; at < all.limits.size(); ++at)
        all.limits[at].setRate(20, { 10, at }, rose);
    all.run(rose, milliseconds(4000), 20);
    CHECK(all.sent.size() >= 65); // of 80
}

// Guards against gateways that send as if they were alone until they know how many they are.
TEST_CASE("send limit: a gateway that doesn't know how many they are sends nothing", "[rate_limiter]")
{
    rate_limiter limit(100, 5, 0, gateway_share {}, start);
    CHECK_FALSE(limit.maySend(start + std::chrono::hours(1)));
    limit.setShare({ 4, 3 }, start);
    CHECK_FALSE(limit.maySend(start));
    CHECK(limit.maySend(start + milliseconds(40)));
}

// Guards against a burst after the machine was suspended, or after nobody called for long.
TEST_CASE("send limit: a long pause saves up no more than a second's requests", "[rate_limiter]")
{
    gateways all(5, 10, 5, start);
    all.run(start + std::chrono::hours(24), milliseconds(100), 0.2);
    CHECK(all.sent.size() <= 14);
}
