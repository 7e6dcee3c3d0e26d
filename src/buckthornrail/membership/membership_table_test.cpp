/// @file
/// @brief Tests of the table under stale and duplicate transitions, and of copies kept current by deltas.
#include "buckthornrail/membership/membership_table.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace buckthornrail;
using namespace buckthornrail::membership;

namespace {

instance_record recordOf(const instance_id& id, incarnation_number incarnation, instance_state state)
{
    instance_record record;
    record.id = id;
    record.role = instance_role::Sidecar;
    record.incarnation = incarnation;
    record.state = state;
    return record;
}

} // namespace

TEST_CASE("membership: stale and duplicate transitions have no effect", "[membership]")
{
    membership_table table;
    CHECK(table.apply({ recordOf("a", 1, instance_state::Ready), false }));
    CHECK_FALSE(table.apply({ recordOf("a", 1, instance_state::Ready), false }));
    CHECK(table.apply({ recordOf("a", 1, instance_state::Draining), false }));
    CHECK_FALSE(table.apply({ recordOf("a", 1, instance_state::Ready), false })); // stale
    CHECK(table.apply({ recordOf("a", 1, instance_state::Left), false }));
    CHECK_FALSE(table.apply({ recordOf("a", 1, instance_state::Ready), false }));
    CHECK_FALSE(table.apply({ recordOf("a", 1, instance_state::Lost), true }));
    CHECK(table.apply({ recordOf("a", 2, instance_state::Joined), false }));
    CHECK_FALSE(table.apply({ recordOf("a", 1, instance_state::Lost), true })); // of the previous incarnation
    CHECK(table.find("a")->state == instance_state::Joined);
    CHECK(table.apply({ recordOf("a", 2, instance_state::Lost), true }));
    CHECK(table.apply({ recordOf("a", 2, instance_state::Ready), false })); // its process was suspended and has resumed
}

TEST_CASE("membership: a drain request is kept when the instance announces itself again", "[membership]")
{
    membership_table table;
    CHECK(table.requestDrain("a", true).error().code == result_code::NotFound);
    table.apply({ recordOf("a", 1, instance_state::Ready), false });
    CHECK(table.requestDrain("a", true));
    table.apply({ recordOf("a", 2, instance_state::Ready), false });
    CHECK(table.find("a")->drainRequested);
}

TEST_CASE("membership: a view updated by deltas equals the table", "[membership][property]")
{
    rc::prop("any transitions, with deltas skipped", [] {
        membership_table table;
        membership_view view;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5 * 700 * 4));
        for (const int step : steps) {
            const auto id = "i" + std::to_string(step / 5 % 700);
            const auto state = static_cast<instance_state>(step % 5);
            table.apply({ recordOf(id, static_cast<incarnation_number>(step / 3500), state), step % 7 == 0 });
            if (step % 3 == 0)
                RC_ASSERT(view.apply(table.changesSince(view.revision())));
        }
        RC_ASSERT(view.apply(table.changesSince(view.revision())));
        for (const auto& [id, record] : table.records())
            RC_ASSERT(*view.find(id) == record);
    });
}

TEST_CASE("membership: old records of left instances are pruned, in views too", "[membership]")
{
    membership_table table;
    membership_view view;
    table.apply({ recordOf("stays", 1, instance_state::Ready), false });
    view.apply(table.changesSince(0));
    for (int i = 0; i < 2000; ++i) {
        table.apply({ recordOf("g" + std::to_string(i), 1, instance_state::Ready), false });
        table.apply({ recordOf("g" + std::to_string(i), 1, instance_state::Left), false });
    }
    CHECK(table.records().size() < 600);
    const auto delta = table.changesSince(view.revision());
    CHECK(delta.full);
    CHECK(view.apply(delta));
    CHECK(view.records().size() == table.records().size());
    membership_delta old = delta;
    old.to = 1;
    CHECK_FALSE(view.apply(old));
}
