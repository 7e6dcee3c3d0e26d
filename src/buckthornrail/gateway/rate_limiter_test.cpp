/// @file
/// @brief An overloaded target and many gateways that each have more requests than its limit for all of them.
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
/// Maximum number of requests in any window: 1.5 times the limit, plus five. The incident tests use the same bound.
double allowed(double perSecond) { return 1.5 * perSecond * 4 + 5; }

/// Gateways that share a limit and each have enough callers to use it up.
struct gateways {
    std::vector<rate_limiter> limits;
    std::vector<steady_time> sent;
    std::mt19937_64 random;

    gateways(std::size_t count, double perSecond, std::uint64_t seed, steady_time now)
        : random(seed)
    {
        std::uniform_real_distribution<double> phase(0, 1);
        for (std::size_t ordinal = 0; ordinal < count; ++ordinal)
            limits.emplace_back(perSecond, seed, phase(random), gateway_share { count, ordinal }, now);
    }

    /// Poisson arrivals at each gateway. @param callMs mean time between two callers
    void run(steady_time from, milliseconds time, double callMs)
    {
        std::exponential_distribution<double> pause(1 / callMs);
        for (auto& limiter : limits) {
            for (double ms = pause(random); ms < static_cast<double>(time.count()); ms += pause(random)) {
                const auto now = from + std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000));
                if (!limiter.maySend(now))
                    continue;
                limiter.recordSent(now);
                sent.push_back(now);
            }
        }
    }

    /// @return the highest number of requests in one window
    std::size_t maxPerWindow()
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

// Guards against shares whose sum exceeds the limit, for any number of gateways.
TEST_CASE("rate limiter: gateways with enough callers never exceed the limit", "[rate_limiter]")
{
    rc::prop("any limit, any number of gateways, pauses before a burst", [] {
        const auto count = *rc::gen::inRange<std::size_t>(1, 80);
        const double limit = static_cast<double>(*rc::gen::inRange(0, 3000)) / 100;
        const auto idle = milliseconds(*rc::gen::inRange(0, 20000));
        gateways all(count, limit, *rc::gen::arbitrary<std::uint64_t>(), start);
        all.run(start + idle, milliseconds(12000), 20);
        RC_ASSERT(static_cast<double>(all.maxPerWindow()) <= allowed(std::max(limit, 0.1)));
    });
}

// Guards against a limit that stays unused because no gateway's share amounts to a whole request.
TEST_CASE("rate limiter: a limit far below one request per second and gateway is used", "[rate_limiter]")
{
    gateways all(20, 0.3, 5, start);
    all.run(start, milliseconds(100000), 50);
    CHECK(all.sent.size() >= 24); // of 30
    CHECK(all.sent.size() <= 33);
}

TEST_CASE("rate limiter: the limit is used up when all gateways have callers", "[rate_limiter]")
{
    gateways all(5, 12, 5, start);
    all.run(start, milliseconds(60000), 100);
    CHECK(all.sent.size() >= 650); // of 720
    CHECK(all.sent.size() <= 730);
}

// Guards against credit that was accumulated under a higher limit, and against waits that were set under a lower one.
TEST_CASE("rate limiter: a lower or higher limit takes effect at once", "[rate_limiter]")
{
    gateways all(10, 20, 5, start);
    all.run(start, milliseconds(10000), 20);
    all.sent.clear();
    const auto loweredAt = start + milliseconds(10000);
    for (std::size_t ordinal = 0; ordinal < all.limits.size(); ++ordinal)
        all.limits[ordinal].setRate(0.5, { 10, ordinal }, loweredAt);
    all.run(loweredAt, milliseconds(20000), 20);
    CHECK(static_cast<double>(all.maxPerWindow()) <= allowed(0.5));
    all.sent.clear();
    const auto raisedAt = loweredAt + milliseconds(20000);
    for (std::size_t ordinal = 0; ordinal < all.limits.size(); ++ordinal)
        all.limits[ordinal].setRate(20, { 10, ordinal }, raisedAt);
    all.run(raisedAt, milliseconds(4000), 20);
    CHECK(all.sent.size() >= 65); // of 80
}

// Guards against gateways that use the whole limit until they know how many gateways there are.
TEST_CASE("rate limiter: a gateway that doesn't know the number of gateways sends nothing", "[rate_limiter]")
{
    rate_limiter limit(100, 5, 0, gateway_share {}, start);
    CHECK_FALSE(limit.maySend(start + std::chrono::hours(1)));
    limit.setShare({ 4, 3 }, start);
    CHECK_FALSE(limit.maySend(start));
    CHECK(limit.maySend(start + milliseconds(40)));
}

// Guards against a burst after the machine was suspended or had no callers for long.
TEST_CASE("rate limiter: an idle time accumulates credit for at most a second", "[rate_limiter]")
{
    gateways all(5, 10, 5, start);
    all.run(start + std::chrono::hours(24), milliseconds(100), 0.2);
    CHECK(all.sent.size() <= 14);
}
