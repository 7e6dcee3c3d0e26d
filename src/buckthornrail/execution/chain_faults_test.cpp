/// @file
/// @brief Tests of split models under faults: each layer runs at most once per token and generation, in order.
#include "buckthornrail/execution/chain_run.hpp"
#include "support/invariants.hpp"
#include "support/token_model.hpp"

#include <catch2/catch.hpp>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <rapidcheck/catch.h>

using namespace buckthornrail;
using namespace buckthornrail::execution;
using test_support::caller_record;
using test_support::execution_record;
using test_support::nextToken;
using test_support::responseTo;

namespace {

constexpr std::uint32_t layerCount = 6;

/// Fault that is injected when message number `faultStep` is sent.
enum class chain_fault { None, Drop, Duplicate, Delay, KillStage, PauseStage, StepFails, CutFromEntry };

constexpr std::array allFaults { chain_fault::Drop, chain_fault::Duplicate, chain_fault::Delay, chain_fault::KillStage,
    chain_fault::PauseStage, chain_fault::StepFails, chain_fault::CutFromEntry };

/// Simulates an entry and two sidecars for each of several layer ranges, in virtual time.
class chain_simulation {
public:
    chain_simulation(const std::vector<std::uint32_t>& ends, std::uint64_t seed)
        : m_random(seed)
        , m_now(steady_time {} + std::chrono::hours(1))
    {
        std::uint32_t first = 0;
        for (const auto end : ends) {
            for (const char* copy : { "a", "b" }) {
                sidecar_node sidecar;
                sidecar.stage = { copy + std::to_string(first), "", 1, "v", first, end };
                m_sidecars.emplace(sidecar.stage.instance, std::move(sidecar));
            }
            first = end;
        }
    }

    chain_fault fault = chain_fault::None;
    std::size_t faultStep = 0;
    std::string victim;
    bool ignoresVerdicts = false; ///< steps run even if the guard rejects them; shows that the checker fails then

    /// @brief Runs a request to its end, or until 10 s after its deadline.
    caller_record runRequest(std::uint32_t tokens)
    {
        chain_request request { "r1", "m", "v", layerCount, "prompt", tokens, m_now + std::chrono::seconds(60) };
        m_run = std::make_unique<chain_run>(request, chain_run_options {});
        m_record = {};
        m_record.request = "r1";
        m_record.expected = responseTo("prompt", tokens);
        m_run->start(m_now);
        applyEffects();
        const steady_time end = m_now + std::chrono::seconds(70);
        while (m_now < end && !m_record.hasResponse) {
            m_now += milliseconds(10);
            while (!m_events.empty() && m_events.begin()->first <= m_now) {
                const auto action = std::move(m_events.begin()->second);
                m_events.erase(m_events.begin());
                action();
            }
            m_run->tick(m_now);
            applyEffects();
        }
        return m_record;
    }

    [[nodiscard]] const std::vector<execution_record>& executions() const { return m_executions; }
    [[nodiscard]] std::size_t messages() const { return m_messages; }
    [[nodiscard]] std::vector<std::string> instances() const
    {
        std::vector<std::string> names;
        for (const auto& [name, sidecar] : m_sidecars)
            names.push_back(name);
        return names;
    }

private:
    struct sidecar_node {
        chain_stage stage;
        stage_guard guard;
        bool killed = false;
        bool paused = false;
        bool cut = false;
        bool failsNext = false;
        std::string text; ///< stage 0: its input so far in this generation
        std::uint32_t maxTokens = 0;
    };

    /// Sends a message; `from` and `to` are empty for the entry.
    void send(const std::string& from, const std::string& to, const std::function<void()>& deliver)
    {
        const std::size_t number = m_messages++;
        const chain_fault active = number == faultStep ? fault : chain_fault::None;
        if (active >= chain_fault::KillStage)
            injectFault(active);
        const auto isRunning = [this](const std::string& name) { return name.empty() || !m_sidecars.at(name).killed; };
        const auto isCut = [this](const std::string& name, const std::string& other) {
            return !name.empty() && other.empty() && m_sidecars.at(name).cut;
        };
        if (active == chain_fault::Drop || !isRunning(from) || isCut(from, to) || isCut(to, from))
            return;
        const auto arrive = [this, to, deliver] {
            if (to.empty()) {
                deliver();
                return;
            }
            auto& receiver = m_sidecars.at(to);
            if (receiver.killed)
                return;
            if (receiver.paused) {
                m_events.emplace(m_now + std::chrono::seconds(8), deliver); // resumes after the entry's timeouts
                return;
            }
            deliver();
        };
        m_events.emplace(m_now + milliseconds(active == chain_fault::Delay ? 6000 : m_random() % 10 + 1), arrive);
        if (active == chain_fault::Duplicate)
            m_events.emplace(m_now + milliseconds(m_random() % 500), arrive);
    }

    void injectFault(chain_fault kind)
    {
        auto& sidecar = m_sidecars.at(victim);
        sidecar.killed = kind == chain_fault::KillStage;
        sidecar.paused = kind == chain_fault::PauseStage;
        sidecar.failsNext = kind == chain_fault::StepFails;
        sidecar.cut = kind == chain_fault::CutFromEntry;
        if (sidecar.killed) {
            m_events.emplace(m_now + milliseconds(20), [this] {
                m_run->linkLost(victim, m_now);
                applyEffects();
            });
        }
    }

    void applyEffects()
    {
        while (const auto effect = m_run->nextEffect())
            applyEffect(*effect);
    }

    void applyEffect(const chain_effect& effect)
    {
        if (const auto* choose = std::get_if<choose_chain>(&effect)) {
            std::vector<stage_candidate> candidates;
            for (const auto& [name, sidecar] : m_sidecars) {
                if (!choose->excluded.contains(name))
                    candidates.push_back({ sidecar.stage, static_cast<double>(m_random() % 100) });
            }
            auto chain = buildChain(candidates, layerCount);
            if (chain)
                m_run->chainBuilt(*chain, m_now);
            else
                m_run->noChain(chain.error());
        } else if (const auto* open = std::get_if<open_stage>(&effect)) {
            const std::string name = open->plan.stages[open->stage].instance;
            send("", name, [this, name, order = *open] { openStage(name, order); });
        } else if (const auto* first = std::get_if<send_first_step>(&effect)) {
            send("", first->stage.instance,
                [this, name = first->stage.instance, step = first->step] { runStep(name, step); });
        } else if (const auto* fence = std::get_if<fence_stage>(&effect)) {
            const std::string name = fence->stage.instance;
            send("", name, [this, name, generation = fence->generation] {
                m_sidecars.at(name).guard.fence("r1", generation, m_now + std::chrono::hours(1));
                send(name, "", [this, name, generation] {
                    m_run->stageFenced(name, generation, m_now);
                    applyEffects();
                });
            });
        } else if (const auto* token = std::get_if<deliver_token>(&effect)) {
            m_record.text += token->text;
        } else if (const auto* last = std::get_if<finish_chain>(&effect)) {
            m_record.hasResponse = true;
            m_record.code = last->result.code;
            m_record.ran = last->ran;
        }
    }

    void openStage(const std::string& name, const open_stage& order)
    {
        auto& sidecar = m_sidecars.at(name);
        const auto opened
            = sidecar.guard.open("r1", order.plan, order.stage, sidecar.stage, m_now + std::chrono::hours(1));
        sidecar.maxTokens = order.maxTokens;
        const auto generation = order.plan.generation;
        send(name, "", [this, name, generation, opened] {
            if (opened)
                m_run->stageOpened(name, generation, m_now);
            else
                m_run->stageRefused(name, generation, opened.error(), m_now);
            applyEffects();
        });
    }

    void runStep(const std::string& name, const stage_step& step)
    {
        auto& sidecar = m_sidecars.at(name);
        const auto verdict = sidecar.guard.admit(step);
        if (verdict != step_verdict::Run && !(ignoresVerdicts && sidecar.guard.planOf("r1") != nullptr))
            return;
        const auto plan = *sidecar.guard.planOf("r1");
        if (sidecar.failsNext) {
            send(name, "", [this, step] {
                m_run->stageFailed(step.generation, step.stage, { result_code::TargetFailed, "" }, m_now);
                applyEffects();
            });
            return;
        }
        execution_record execution;
        execution.target = name;
        execution.request = step.request;
        execution.isStep = true;
        execution.generation = step.generation;
        execution.token = step.token;
        execution.firstLayer = sidecar.stage.firstLayer;
        execution.endLayer = sidecar.stage.endLayer;
        m_executions.push_back(execution);
        std::string output = step.input;
        if (step.stage == 0) {
            sidecar.text = step.token == 0 ? step.input : sidecar.text + step.input;
            output = sidecar.text;
        }
        if (step.stage + 1 < plan.stages.size()) {
            sendStep(name, plan.stages[step.stage + 1].instance,
                { "r1", step.generation, step.token, step.stage + 1, output });
            return;
        }
        const std::string token = nextToken(output);
        const bool last = step.token + 1 == sidecar.maxTokens;
        send(name, "", [this, step, token, last] {
            m_run->token({ step.generation, step.token, token, last, last ? "length" : "" }, m_now);
            applyEffects();
        });
        if (!last)
            sendStep(name, plan.stages.front().instance, { "r1", step.generation, step.token + 1, 0, token });
    }

    void sendStep(const std::string& from, const std::string& to, const stage_step& step)
    {
        send(from, to, [this, to, step] { runStep(to, step); });
    }

    std::mt19937_64 m_random;
    steady_time m_now;
    std::multimap<steady_time, std::function<void()>> m_events;
    std::map<std::string, sidecar_node> m_sidecars;
    std::unique_ptr<chain_run> m_run;
    caller_record m_record;
    std::vector<execution_record> m_executions;
    std::size_t m_messages = 0;
};

std::vector<std::string> violationsOf(const chain_simulation& simulation, const caller_record& caller)
{
    auto all = test_support::checkLayers(simulation.executions(), layerCount);
    for (const auto& part : { test_support::checkResponses({ caller }),
             test_support::checkNotExecuted({ caller }, simulation.executions()) })
        all.insert(all.end(), part.begin(), part.end());
    return all;
}

} // namespace

TEST_CASE("chains: fault matrix, each fault at each message and each sidecar", "[chain][faults]")
{
    const std::vector<std::uint32_t> split { 2, 5, 6 };
    chain_simulation withoutFault(split, 1);
    REQUIRE(violationsOf(withoutFault, withoutFault.runRequest(4)).empty());
    std::size_t cases = 0;
    std::size_t completed = 0;
    for (const auto fault : allFaults) {
        for (const auto& victim : withoutFault.instances()) {
            for (std::size_t step = 0; step < withoutFault.messages() + 4; ++step) {
                chain_simulation simulation(split, step + 1);
                simulation.fault = fault;
                simulation.faultStep = step;
                simulation.victim = victim;
                const auto caller = simulation.runRequest(4);
                INFO("fault " << static_cast<int>(fault) << " at " << step << " on " << victim);
                REQUIRE(violationsOf(simulation, caller).empty());
                REQUIRE(caller.hasResponse);
                CHECK(caller.code == result_code::Ok);
                completed += caller.code == result_code::Ok ? 1 : 0;
                ++cases;
            }
        }
    }
    std::cout << "chain fault matrix: " << cases << " cases, " << completed << " with a complete response\n";
}

TEST_CASE("chains: any split of the layers with any fault at any message", "[chain][property]")
{
    rc::prop("split", [](std::uint64_t seed) {
        std::vector<std::uint32_t> ends;
        for (std::uint32_t layer = 1; layer < layerCount; ++layer) {
            if (*rc::gen::arbitrary<bool>())
                ends.push_back(layer);
        }
        ends.push_back(layerCount);
        chain_simulation simulation(ends, seed);
        const auto names = simulation.instances();
        simulation.fault = allFaults[*rc::gen::inRange<std::size_t>(0, allFaults.size())];
        simulation.faultStep = *rc::gen::inRange<std::size_t>(0, 60);
        simulation.victim = names[*rc::gen::inRange<std::size_t>(0, names.size())];
        const auto caller = simulation.runRequest(*rc::gen::inRange<std::uint32_t>(1, 6));
        RC_ASSERT(violationsOf(simulation, caller).empty());
        RC_ASSERT(caller.hasResponse);
    });
}

TEST_CASE("chains: the layer checker detects steps that run although a guard rejects them", "[chain][checker]")
{
    bool isDetected = false;
    for (std::size_t step = 0; step < 40 && !isDetected; ++step) {
        chain_simulation simulation({ 2, 5, 6 }, step + 1);
        simulation.ignoresVerdicts = true;
        simulation.fault = chain_fault::Duplicate;
        simulation.faultStep = step;
        isDetected = !violationsOf(simulation, simulation.runRequest(4)).empty();
    }
    CHECK(isDetected);
}

TEST_CASE("chains: gaps, overlaps and wrong versions are rejected, by each sidecar too", "[chain]")
{
    const auto stage = [](std::uint32_t first, std::uint32_t end, const std::string& version = "v") {
        return chain_stage { "s" + std::to_string(first), "", 1, version, first, end };
    };
    const auto reasonOf = [](const std::vector<chain_stage>& stages) {
        const auto checked = checkChain({ 1, "m", "v", 6, stages });
        return checked ? std::string() : checked.error().reason;
    };
    CHECK(reasonOf({ stage(0, 3), stage(3, 6) }).empty());
    CHECK(reasonOf({ stage(0, 3), stage(4, 6) }) == "layers 3 to 4 are missing before stage s4");
    CHECK(reasonOf({ stage(0, 3), stage(2, 6) }) == "stage s2 overlaps an earlier stage at layer 2");
    CHECK(reasonOf({ stage(0, 3) }) == "the chain ends at layer 3 of 6");
    CHECK(reasonOf({ stage(0, 3), stage(3, 6, "w") }) == "stage s3 has version w, not v");
    CHECK(reasonOf({}) == "the chain has no stages");
    stage_guard guard;
    const chain_plan gap { 1, "m", "v", 6, { stage(0, 3), stage(4, 6) } };
    CHECK(guard.open("r", gap, 0, stage(0, 3), {}).error().code == result_code::BadChain);
    const chain_plan whole { 1, "m", "v", 6, { stage(0, 3), stage(3, 6) } };
    CHECK(guard.open("r", whole, 0, stage(0, 4), {}).error().code == result_code::BadChain);
    CHECK(guard.open("r", whole, 0, stage(0, 3), {}));
    CHECK(guard.open("r", whole, 0, stage(0, 3), {}).error().code == result_code::FencedGeneration);
    CHECK(buildChain(std::vector<stage_candidate> { { stage(0, 3), 1 } }, 6).error().code == result_code::NoTarget);
}

TEST_CASE("chains: a chain that is built covers each layer once", "[chain][property]")
{
    rc::prop("cover", [] {
        std::vector<stage_candidate> candidates;
        const auto count = *rc::gen::inRange(0, 12);
        for (int index = 0; index < count; ++index) {
            const auto first = *rc::gen::inRange<std::uint32_t>(0, layerCount);
            const auto end = *rc::gen::inRange<std::uint32_t>(first + 1, layerCount + 1);
            candidates.push_back(
                { { "n" + std::to_string(index), "", 1, "v", first, end }, *rc::gen::inRange(1, 9) * 1.0 });
        }
        const auto built = buildChain(candidates, layerCount);
        if (built)
            RC_ASSERT(checkChain({ 1, "m", "v", layerCount, *built }).has_value());
    });
}
