/// @file
/// @brief The bound on the memory of all open messages.
#include "buckthornrail/core/memory_budget.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <memory>
#include <rapidcheck/catch.h>
#include <vector>

using namespace buckthornrail;

TEST_CASE("memory budget: the largest message is evicted, small ones stay", "[core]")
{
    memory_budget budget(100);
    int evictedLarge = 0;
    int evictedSmall = 0;
    memory_lease small(budget, [&] { ++evictedSmall; });
    memory_lease large(budget, [&] { ++evictedLarge; });
    CHECK(small.resize(10));
    CHECK(large.resize(90));
    CHECK(budget.used() == 100);
    CHECK(small.resize(11));
    CHECK(evictedLarge == 1);
    CHECK(evictedSmall == 0);
    CHECK(budget.used() == 11);
    CHECK_FALSE(large.resize(95));
    CHECK(evictedLarge == 2);
    CHECK(budget.used() == 11);
}

TEST_CASE("memory budget: a lease that is destroyed returns its bytes, also while it is evicted", "[core]")
{
    memory_budget budget(10);
    std::unique_ptr<memory_lease> lease;
    lease = std::make_unique<memory_lease>(budget, [&] { lease.reset(); });
    CHECK(lease->resize(10));
    CHECK_FALSE(lease->resize(11));
    CHECK_FALSE(lease);
    CHECK(budget.used() == 0);
}

TEST_CASE("memory budget: never more than its limit, whatever is resized", "[core]")
{
    rc::prop("any sizes", [] {
        constexpr std::size_t limit = 50;
        memory_budget budget(limit);
        std::array<std::unique_ptr<memory_lease>, 4> leases;
        for (auto& lease : leases)
            lease = std::make_unique<memory_lease>(budget, [] {});
        const auto steps = *rc::gen::container<std::vector<std::pair<std::size_t, std::size_t>>>(
            rc::gen::pair(rc::gen::inRange<std::size_t>(0, 4), rc::gen::inRange<std::size_t>(0, 70)));
        for (const auto& [index, bytes] : steps) {
            (void)leases[index]->resize(bytes);
            std::size_t sum = 0;
            for (const auto& lease : leases)
                sum += lease->bytes();
            RC_ASSERT(budget.used() == sum);
            RC_ASSERT(sum <= limit);
        }
    });
}
