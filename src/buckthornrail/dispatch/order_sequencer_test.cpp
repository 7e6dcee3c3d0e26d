/// @file
/// @brief Orders to targets that check fencing tokens, and to those that don't.
#include "buckthornrail/dispatch/order_sequencer.hpp"

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <random>
#include <rapidcheck/catch.h>

using namespace buckthornrail;
using namespace buckthornrail::dispatch;

namespace {

/// Target that takes some time for each order and detects orders that overlap.
struct slow_target {
    bool checks = true;
    std::string version = "1";
    fencing_token highest = 0;
    int activeOrders = 0;
    bool overlapped = false;
};

/// Simulates a sidecar that may restart, and its target.
class order_simulation {
public:
    order_simulation(bool checks, std::uint64_t seed)
        : m_random(seed)
    {
        target.checks = checks;
        restart();
    }

    void offer(fencing_token fence)
    {
        m_sequencer->offer({ fence, "m", std::to_string(fence) }, now);
        applyEffects();
    }

    void restart()
    {
        ++m_incarnation;
        order_options options;
        options.targetChecksFences = target.checks;
        options.orderTimeout = milliseconds(1000);
        m_sequencer = std::make_unique<order_sequencer>(options, now);
    }

    void run(int steps)
    {
        for (int round = 0; round < steps; ++round) {
            now += milliseconds(10);
            while (!m_events.empty() && m_events.begin()->first <= now) {
                const auto action = std::move(m_events.begin()->second);
                m_events.erase(m_events.begin());
                action();
            }
            m_sequencer->tick(now);
            applyEffects();
        }
    }

    slow_target target;
    std::vector<std::pair<fencing_token, result_code>> reports;
    steady_time now = steady_time {} + std::chrono::hours(1);

private:
    void applyEffects()
    {
        while (const auto effect = m_sequencer->nextEffect()) {
            if (std::holds_alternative<pause_work>(*effect))
                m_sequencer->workDrained(now);
            else if (const auto* sent = std::get_if<send_order>(&*effect))
                receive(sent->order);
            else if (std::holds_alternative<read_target_state>(*effect))
                m_sequencer->stateRead("m", target.version, now);
            else if (const auto* report = std::get_if<report_order>(&*effect))
                reports.emplace_back(report->order.fence, report->outcome.code);
        }
    }

    void receive(const target_order& order)
    {
        const int incarnation = m_incarnation;
        const bool isOld = target.checks && order.fence < target.highest;
        target.highest = std::max(target.highest, order.fence);
        if (!target.checks && target.activeOrders > 0)
            target.overlapped = true;
        target.activeOrders += isOld ? 0 : 1;
        // Takes up to 900 ms, less than the order timeout of 1,000 ms.
        m_events.emplace(now + milliseconds(m_random() % 900), [this, incarnation, order, isOld] {
            if (!isOld) {
                --target.activeOrders;
                if (!target.checks || order.fence >= target.highest)
                    target.version = order.version;
            }
            if (incarnation != m_incarnation)
                return;
            m_sequencer->orderCallEnded(order.fence, !isOld, isOld, now);
            applyEffects();
        });
    }

    std::mt19937_64 m_random;
    int m_incarnation = 0;
    std::unique_ptr<order_sequencer> m_sequencer;
    std::multimap<steady_time, std::function<void()>> m_events;
};

} // namespace

TEST_CASE("orders: the highest fencing token wins at every kind of target, across restarts", "[orders][property]")
{
    rc::prop("schedule", [](std::uint64_t seed, bool checks) {
        order_simulation simulation(checks, seed);
        fencing_token issued = 0;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400));
        for (const int step : steps) {
            if (step % 8 == 0)
                simulation.restart();
            else if (step % 8 < 5)
                simulation.offer(++issued);
            else if (issued > 0)
                simulation.offer(static_cast<fencing_token>(step) % issued + 1); // a delayed older order
            simulation.run(step / 8);
        }
        simulation.restart();
        simulation.offer(++issued);
        simulation.run(500);
        RC_ASSERT(simulation.target.version == std::to_string(issued));
        RC_ASSERT(!simulation.target.overlapped);
    });
}

TEST_CASE("orders: work is paused before an order and resumed after it", "[orders]")
{
    order_sequencer sequencer({}, steady_time {});
    sequencer.offer({ 1, "m", "2" }, steady_time {});
    REQUIRE(std::holds_alternative<pause_work>(*sequencer.nextEffect()));
    CHECK_FALSE(sequencer.nextEffect());
    sequencer.workDrained(steady_time {});
    REQUIRE(std::holds_alternative<send_order>(*sequencer.nextEffect()));
    sequencer.orderCallEnded(1, true, false, steady_time {});
    REQUIRE(std::holds_alternative<read_target_state>(*sequencer.nextEffect()));
    sequencer.stateRead("m", "2", steady_time {});
    CHECK(std::get<report_order>(*sequencer.nextEffect()).outcome.code == result_code::Ok);
    CHECK(std::holds_alternative<resume_work>(*sequencer.nextEffect()));
    CHECK(sequencer.isIdle());
}

TEST_CASE("orders: a target that never loads the version is reported, and work resumes", "[orders]")
{
    order_sequencer sequencer({}, steady_time {});
    sequencer.offer({ 1, "m", "2" }, steady_time {});
    sequencer.workDrained(steady_time {});
    sequencer.orderCallEnded(1, true, false, steady_time {});
    result_code code = result_code::Ok;
    bool resumed = false;
    for (int round = 0; round < 200; ++round) {
        const steady_time now = steady_time {} + milliseconds(round * 100);
        sequencer.tick(now);
        while (const auto effect = sequencer.nextEffect()) {
            if (std::holds_alternative<read_target_state>(*effect))
                sequencer.stateRead("m", "1", now);
            if (const auto* report = std::get_if<report_order>(&*effect))
                code = report->outcome.code;
            resumed = resumed || std::holds_alternative<resume_work>(*effect);
        }
    }
    CHECK(code == result_code::TargetFailed);
    CHECK(resumed);
}
