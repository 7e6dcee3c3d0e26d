/// @file
/// @brief Order, bounds, displacement, expiry and sums of the requests that wait at a gateway.
#include "buckthornrail/gateway/admission_queue.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>
#include <optional>
#include <rapidcheck/catch.h>
#include <set>
#include <tuple>

using namespace buckthornrail;
using namespace buckthornrail::gateway;

namespace {

const steady_time start = steady_time {} + std::chrono::hours(1);

steady_time afterMs(int ms) { return start + milliseconds(ms); }

using calls_type = std::vector<std::uint64_t>;

queued_request makeRequest(std::uint64_t call, std::uint32_t priority, int deadlineMs = 1000)
{
    queued_request request;
    request.call = call;
    request.service = "s";
    request.priority = priority;
    request.deadline = afterMs(deadlineMs);
    request.enqueuedAt = start;
    request.tokens = 100;
    request.bytes = 10;
    return request;
}

calls_type callsOf(const std::vector<queued_request>& requests)
{
    calls_type calls;
    for (const auto& request : requests)
        calls.push_back(request.call);
    return calls;
}

/// @return calls in the order in which next() and nextAfter() give them
calls_type callsInOrder(const admission_queue& queue, std::string_view service)
{
    calls_type calls;
    for (auto request = queue.next(service); request; request = queue.nextAfter(service, *request))
        calls.push_back(request->call);
    return calls;
}

/// The specified behaviour by linear searches, and what became of each call.
struct queue_model {
    admission_queue_options options;
    std::vector<queued_request> queued;
    std::set<std::uint64_t> displaced;

    static auto orderKey(const queued_request& request)
    {
        return std::tuple(request.priority, !request.isReturning, request.deadline, request.enqueuedAt, request.call);
    }
    void sort()
    {
        std::sort(queued.begin(), queued.end(),
            [](const auto& left, const auto& right) { return orderKey(left) < orderKey(right); });
    }
    [[nodiscard]] std::size_t bytes() const
    {
        std::size_t sum = 0;
        for (const auto& request : queued)
            sum += request.bytes;
        return sum;
    }
    [[nodiscard]] double tokens(const std::string& service, std::uint32_t priority) const
    {
        double sum = 0;
        for (const auto& request : queued)
            sum += request.service == service && request.priority == priority ? request.tokens : 0;
        return sum;
    }
    void remove(std::uint64_t call)
    {
        std::erase_if(queued, [&](const auto& request) { return request.call == call; });
        displaced.erase(call);
    }
    bool add(const queued_request& request)
    {
        remove(request.call);
        const auto before = *this;
        while (queued.size() >= options.maxRequests || bytes() + request.bytes > options.maxBytes) {
            if (queued.empty() || queued.back().priority <= request.priority) {
                *this = before;
                return false;
            }
            displaced.insert(queued.back().call);
            queued.pop_back();
        }
        queued.push_back(request);
        sort();
        return true;
    }
    std::set<std::uint64_t> takeExpired(steady_time now)
    {
        std::set<std::uint64_t> expired;
        for (const auto& request : queued) {
            if (request.deadline <= now)
                expired.insert(request.call);
        }
        std::erase_if(queued, [&](const auto& request) { return expired.contains(request.call); });
        return expired;
    }
};

queued_request anyRequest()
{
    auto request = makeRequest(*rc::gen::inRange<std::uint64_t>(0, 30), *rc::gen::inRange<std::uint32_t>(0, 4));
    request.service = *rc::gen::element<std::string>("a", "b");
    request.isReturning = *rc::gen::arbitrary<bool>();
    request.deadline = afterMs(*rc::gen::inRange(0, 50));
    request.enqueuedAt = afterMs(*rc::gen::inRange(0, 3));
    request.tokens = *rc::gen::inRange(0, 1000);
    request.bytes = *rc::gen::inRange<std::size_t>(0, 60);
    return request;
}

void checkSame(const admission_queue& queue, const queue_model& model)
{
    RC_ASSERT(queue.size() == model.queued.size());
    RC_ASSERT(queue.size() <= model.options.maxRequests);
    RC_ASSERT(queue.bytes() == model.bytes());
    RC_ASSERT(queue.bytes() <= model.options.maxBytes);
    calls_type all;
    for (const std::string service : { "a", "b" }) {
        calls_type expected;
        for (const auto& request : model.queued) {
            if (request.service == service)
                expected.push_back(request.call);
        }
        RC_ASSERT(callsInOrder(queue, service) == expected);
        all.insert(all.end(), expected.begin(), expected.end());
        for (std::uint32_t priority = 0; priority < 4; ++priority)
            RC_ASSERT(queue.waitingTokens(service, priority) == model.tokens(service, priority));
    }
    RC_ASSERT(callsOf(queue.requests()) == all);
    std::optional<steady_time> deadline;
    for (const auto& request : model.queued)
        deadline = std::min(deadline.value_or(request.deadline), request.deadline);
    RC_ASSERT(queue.nextDeadline() == deadline);
}

} // namespace

// Guards against lower priorities that are served first, and against returning callers that wait behind new ones.
TEST_CASE("admission queue: priority, then returning, then deadline, then arrival", "[admission_queue]")
{
    admission_queue queue;
    auto laterArrival = makeRequest(1, 1, 500);
    laterArrival.enqueuedAt = afterMs(1);
    auto returning = makeRequest(4, 1, 900);
    returning.isReturning = true;
    auto lowReturning = makeRequest(6, 2, 100);
    lowReturning.isReturning = true;
    for (const auto& request : { laterArrival, makeRequest(2, 1, 500), makeRequest(3, 1, 400), returning,
             makeRequest(5, 0, 1000), lowReturning, makeRequest(7, 2, 50) })
        REQUIRE(queue.add(request));
    CHECK(callsInOrder(queue, "s") == calls_type { 5, 4, 3, 2, 1, 6, 7 });
    CHECK(callsOf(queue.requests()) == calls_type { 5, 4, 3, 2, 1, 6, 7 });
    CHECK_FALSE(queue.next("other"));
    CHECK_FALSE(queue.nextAfter("other", returning));
}

// Guards against an iteration that ends early because the request it stands at was admitted meanwhile.
TEST_CASE("admission queue: an iteration goes on after a request that was removed", "[admission_queue]")
{
    admission_queue queue;
    for (std::uint64_t call = 1; call <= 3; ++call)
        REQUIRE(queue.add(makeRequest(call, 0)));
    const auto first = queue.next("s");
    REQUIRE(first);
    queue.remove(first->call);
    const auto second = queue.nextAfter("s", *first);
    REQUIRE(second);
    CHECK(second->call == 2);
}

// Guards against a queue of low priorities that keeps higher ones out, and against displacement among equals.
TEST_CASE("admission queue: a full queue displaces the lowest priority's last request, for a higher one only",
    "[admission_queue]")
{
    admission_queue queue({ 3, 1000 });
    auto otherService = makeRequest(2, 2, 900);
    otherService.service = "t";
    REQUIRE(queue.add(makeRequest(1, 2, 800)));
    REQUIRE(queue.add(otherService));
    REQUIRE(queue.add(makeRequest(3, 1)));
    CHECK_FALSE(queue.add(makeRequest(4, 2, 100)));
    CHECK(queue.takeDisplaced().empty());
    CHECK(queue.add(makeRequest(5, 1)));
    CHECK(queue.takeDisplaced() == calls_type { 2 });
    CHECK(queue.takeDisplaced().empty());
    CHECK(queue.waitingTokens("t", 2) == 0);
    CHECK(queue.add(makeRequest(6, 0)));
    CHECK(queue.takeDisplaced() == calls_type { 1 });
    CHECK_FALSE(queue.add(makeRequest(7, 1)));
    CHECK(queue.add(makeRequest(8, 0)));
    CHECK(queue.takeDisplaced() == calls_type { 5 });
    CHECK(callsInOrder(queue, "s") == calls_type { 6, 8, 3 });
}

// Guards against bodies that exceed the gateway's memory, and against displacement that makes too little room.
TEST_CASE("admission queue: the bytes of bodies are bounded", "[admission_queue]")
{
    admission_queue queue({ 10, 100 });
    auto large = makeRequest(1, 0);
    large.bytes = 101;
    CHECK_FALSE(queue.add(large));
    large.bytes = std::numeric_limits<std::size_t>::max();
    CHECK_FALSE(queue.add(large));
    for (std::uint64_t call = 2; call <= 4; ++call) {
        auto low = makeRequest(call, 2, static_cast<int>(call));
        low.bytes = 30;
        REQUIRE(queue.add(low));
    }
    auto medium = makeRequest(5, 1);
    medium.bytes = 70;
    REQUIRE(queue.add(medium));
    CHECK(queue.takeDisplaced() == calls_type { 4, 3 });
    CHECK(queue.bytes() == 100);
    auto high = makeRequest(6, 1);
    high.bytes = 40; // would need the room of a request of the same priority
    CHECK_FALSE(queue.add(high));
    CHECK(queue.takeDisplaced().empty());
    CHECK(queue.size() == 2);
}

// Guards against requests that are sent to a target for nobody, and against sums that keep what has left.
TEST_CASE("admission queue: a caller that leaves frees its place at once", "[admission_queue]")
{
    admission_queue queue({ 2, 1000 });
    REQUIRE(queue.add(makeRequest(1, 1)));
    REQUIRE(queue.add(makeRequest(2, 1)));
    queue.remove(99); // unknown: no effect
    CHECK(queue.size() == 2);
    CHECK(queue.waitingTokens("s", 1) == 200);
    queue.remove(1);
    queue.remove(1);
    CHECK_FALSE(queue.contains(1));
    CHECK(queue.waitingTokens("s", 1) == 100);
    CHECK(queue.bytes() == 10);
    CHECK(queue.add(makeRequest(3, 1)));
    REQUIRE(queue.add(makeRequest(4, 0)));
    queue.remove(3); // displaced, but not taken yet
    CHECK(queue.takeDisplaced().empty());
}

// Guards against a call that is queued twice, and refused as displaced while it is queued.
TEST_CASE("admission queue: a call that is added again replaces its earlier request", "[admission_queue]")
{
    admission_queue queue({ 1, 1000 });
    REQUIRE(queue.add(makeRequest(1, 1)));
    REQUIRE(queue.add(makeRequest(1, 2)));
    CHECK(queue.waitingTokens("s", 1) == 0);
    CHECK(queue.waitingTokens("s", 2) == 100);
    REQUIRE(queue.add(makeRequest(2, 1)));
    REQUIRE(queue.add(makeRequest(1, 0)));
    CHECK(queue.takeDisplaced() == calls_type { 2 });
    CHECK(callsInOrder(queue, "s") == calls_type { 1 });
}

// Guards against requests that start after their latest useful start, also after the process was suspended.
TEST_CASE("admission queue: what has expired at a jump of the clock is taken at once", "[admission_queue]")
{
    admission_queue queue;
    for (std::uint64_t call = 1; call <= 5; ++call)
        REQUIRE(queue.add(makeRequest(call, call % 2, 600 - static_cast<int>(call) * 100)));
    CHECK(queue.nextDeadline() == afterMs(100));
    CHECK(queue.takeExpired(afterMs(99)).empty());
    CHECK(queue.takeExpired(afterMs(100)) == calls_type { 5 });
    CHECK(queue.takeExpired(afterMs(400)) == calls_type { 4, 3, 2 });
    CHECK(queue.nextDeadline() == afterMs(500));
    CHECK(queue.takeExpired(start + std::chrono::hours(5)) == calls_type { 1 });
    CHECK_FALSE(queue.nextDeadline());
    CHECK(queue.size() == 0);
    CHECK(queue.bytes() == 0);
    CHECK(queue.waitingTokens("s", 0) == 0);
}

// Guards against sums that a single estimate makes negative, infinite or not a number.
TEST_CASE("admission queue: token counts that are no amounts don't spoil the sums", "[admission_queue]")
{
    admission_queue queue;
    REQUIRE(queue.add(makeRequest(1, 0)));
    std::uint64_t call = 2;
    for (const double tokens :
        { -5.0, std::numeric_limits<double>::quiet_NaN(), 0.1, 0.2, 0.7, std::numeric_limits<double>::infinity() }) {
        auto request = makeRequest(call, 0);
        request.tokens = tokens;
        REQUIRE(queue.add(request));
        queue.remove(call++);
        CHECK(queue.waitingTokens("s", 0) == Approx(100));
    }
}

// Guards against an order or sums that depend on the number of entries.
TEST_CASE("admission queue: ten thousand requests are taken in order", "[admission_queue]")
{
    constexpr std::uint64_t count = 10'000;
    admission_queue queue({ count, count * 10 });
    for (std::uint64_t call = 0; call < count; ++call) // 7919 is prime: all deadlines differ
        REQUIRE(queue.add(makeRequest(call, call % 10, static_cast<int>(call * 7919 % count))));
    std::uint64_t taken = 0;
    std::optional<queued_request> previous;
    while (const auto request = queue.next("s")) {
        if (previous)
            REQUIRE(queue_model::orderKey(*previous) < queue_model::orderKey(*request));
        previous = request;
        queue.remove(request->call);
        ++taken;
    }
    CHECK(taken == count);
    CHECK(queue.bytes() == 0);
}

// Guards against tokens, bytes or requests that are lost or counted twice in any interleaving, against requests that
// are queued and also expired or displaced, and against another order than the specified one.
TEST_CASE("admission queue: any interleaving gives the specified order and sums", "[admission_queue][property]")
{
    rc::prop("add, remove, expire, take displaced", [] {
        queue_model model;
        model.options = { *rc::gen::inRange<std::size_t>(0, 12), *rc::gen::inRange<std::size_t>(0, 300) };
        admission_queue queue(model.options);
        auto now = start;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10));
        for (const int step : steps) {
            if (step < 6) {
                const auto request = anyRequest();
                const bool isQueued = queue.add(request);
                RC_ASSERT(isQueued == model.add(request));
                RC_ASSERT(queue.contains(request.call) == isQueued);
            } else if (step == 6) {
                const auto call = *rc::gen::inRange<std::uint64_t>(0, 30);
                queue.remove(call);
                model.remove(call);
                RC_ASSERT(!queue.contains(call));
            } else if (step == 7) {
                const auto displaced = queue.takeDisplaced();
                RC_ASSERT(std::set(displaced.begin(), displaced.end()) == model.displaced);
                RC_ASSERT(displaced.size() == model.displaced.size());
                for (const auto call : displaced)
                    RC_ASSERT(!queue.contains(call));
                model.displaced.clear();
            } else {
                now += milliseconds(*rc::gen::inRange(0, 20));
                const auto expired = queue.takeExpired(now);
                const auto expected = model.takeExpired(now);
                RC_ASSERT(std::set(expired.begin(), expired.end()) == expected);
                RC_ASSERT(expired.size() == expected.size());
            }
            checkSame(queue, model);
        }
    });
}
