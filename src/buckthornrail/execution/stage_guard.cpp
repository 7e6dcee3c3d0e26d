/// @file
/// @brief Admission of steps by generation and order.
#include "buckthornrail/execution/stage_guard.hpp"

#include "buckthornrail/core/enum_names.hpp"

#include <algorithm>

namespace buckthornrail::execution {
namespace {

constexpr std::array verdictNames {
    enum_name<step_verdict> { step_verdict::Run, "run" },
    enum_name<step_verdict> { step_verdict::Duplicate, "duplicate" },
    enum_name<step_verdict> { step_verdict::OutOfOrder, "out_of_order" },
    enum_name<step_verdict> { step_verdict::Fenced, "fenced" },
    enum_name<step_verdict> { step_verdict::Unknown, "unknown" },
};

} // namespace

std::string_view nameOf(step_verdict verdict) { return nameIn(verdictNames, verdict); }

tl::expected<void, failure> stage_guard::open(const std::string& request, const chain_plan& plan, std::uint32_t stage,
    const chain_stage& self, steady_time deadline)
{
    if (auto valid = checkChain(plan); !valid)
        return valid;
    if (stage >= plan.stages.size() || plan.stages[stage] != self)
        return tl::make_unexpected(
            failure { result_code::BadChain, "the chain names a different target or layer range for this stage" });
    auto& state = m_requests[request];
    state.deadline = std::max(state.deadline, deadline);
    const bool reopens = plan.generation == state.generation && plan.generation != 0;
    if (plan.generation < state.generation || reopens)
        return tl::make_unexpected(failure {
            result_code::FencedGeneration, "generation " + std::to_string(state.generation) + " is already known" });
    state.generation = plan.generation;
    state.plan = plan;
    state.stage = stage;
    state.nextToken = 0;
    return {};
}

void stage_guard::fence(const std::string& request, std::uint32_t generation, steady_time deadline)
{
    auto& state = m_requests[request];
    state.deadline = std::max(state.deadline, deadline);
    if (generation <= state.generation)
        return;
    // `generation` itself may still be opened once, so the highest known one is the one before it.
    state.generation = generation - 1;
    state.plan.reset();
}

step_verdict stage_guard::admit(const stage_step& step)
{
    const auto found = m_requests.find(step.request);
    if (found == m_requests.end())
        return step_verdict::Unknown;
    auto& state = found->second;
    if (step.generation < state.generation)
        return step_verdict::Fenced;
    if (step.generation > state.generation || !state.plan || step.stage != state.stage)
        return step_verdict::Unknown;
    if (step.token < state.nextToken)
        return step_verdict::Duplicate;
    if (step.token > state.nextToken)
        return step_verdict::OutOfOrder;
    ++state.nextToken;
    return step_verdict::Run;
}

const chain_plan* stage_guard::planOf(const std::string& request) const
{
    const auto found = m_requests.find(request);
    return found == m_requests.end() || !found->second.plan ? nullptr : &*found->second.plan;
}

std::vector<std::string> stage_guard::expire(steady_time now)
{
    std::vector<std::string> expired;
    for (auto it = m_requests.begin(); it != m_requests.end();) {
        if (now < it->second.deadline) {
            ++it;
            continue;
        }
        expired.push_back(it->first);
        it = m_requests.erase(it);
    }
    return expired;
}

void stage_guard::close(const std::string& request)
{
    const auto found = m_requests.find(request);
    if (found != m_requests.end())
        found->second.plan.reset();
}

} // namespace buckthornrail::execution
