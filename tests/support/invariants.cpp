/// @file
/// @brief Checkers of the invariants.
#include "support/invariants.hpp"

#include <map>
#include <set>

namespace test_support {

using buckthornrail::ran_state;
using buckthornrail::result_code;

std::vector<std::string> checkResponses(const std::vector<caller_record>& callers)
{
    std::vector<std::string> violations;
    for (const auto& caller : callers) {
        if (caller.hasResponse && caller.code == result_code::Ok && caller.text != caller.expected)
            violations.push_back(
                caller.request + " received the response '" + caller.text + "', expected '" + caller.expected + "'");
        if (!caller.expected.starts_with(caller.text))
            violations.push_back(
                caller.request + " received '" + caller.text + "', which isn't a prefix of its own response");
    }
    return violations;
}

std::vector<std::string> checkNotExecuted(
    const std::vector<caller_record>& callers, const std::vector<execution_record>& executions)
{
    std::set<std::string> ran;
    for (const auto& execution : executions)
        ran.insert(execution.request);
    std::vector<std::string> violations;
    for (const auto& caller : callers) {
        if (caller.hasResponse && caller.ran == ran_state::No && ran.contains(caller.request))
            violations.push_back(caller.request + " was reported as not run, but was executed");
    }
    return violations;
}

std::vector<std::string> checkKeysRunOnce(const std::vector<execution_record>& executions)
{
    std::map<std::string, int> runs;
    for (const auto& execution : executions) {
        if (!execution.key.empty())
            ++runs[execution.key];
    }
    std::vector<std::string> violations;
    for (const auto& [key, count] : runs) {
        if (count > 1)
            violations.push_back("key " + key + " was executed " + std::to_string(count) + " times");
    }
    return violations;
}

std::vector<std::string> checkAttempts(const std::vector<execution_record>& executions)
{
    std::set<std::pair<std::string, std::uint32_t>> seen;
    std::vector<std::string> violations;
    for (const auto& execution : executions) {
        if (!execution.isStep && !seen.emplace(execution.request, execution.attempt).second)
            violations.push_back(execution.request + "/" + std::to_string(execution.attempt) + " was executed twice");
    }
    return violations;
}

std::vector<std::string> checkLayers(const std::vector<execution_record>& executions, std::uint32_t layerCount)
{
    // The next expected (token, layer) of each generation of each request.
    std::map<std::pair<std::string, std::uint32_t>, std::pair<std::uint32_t, std::uint32_t>> next;
    std::vector<std::string> violations;
    for (const auto& execution : executions) {
        if (!execution.isStep)
            continue;
        auto& [token, layer] = next[{ execution.request, execution.generation }];
        const std::string place = execution.request + " generation " + std::to_string(execution.generation) + " token "
            + std::to_string(execution.token) + " layer " + std::to_string(execution.firstLayer);
        if (execution.token != token || execution.firstLayer != layer)
            violations.push_back(
                place + " ran, expected token " + std::to_string(token) + " layer " + std::to_string(layer));
        layer = execution.endLayer;
        if (layer < layerCount)
            continue;
        ++token;
        layer = 0;
    }
    return violations;
}

} // namespace test_support
