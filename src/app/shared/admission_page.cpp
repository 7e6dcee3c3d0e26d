/// @file
/// @brief Formats the state of a gateway's admission as JSON.
#include "app/shared/admission_page.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace buckthornrail::app {
namespace {

using nlohmann::json;

/// Rounds a share to thousandths.
double roundedShare(double share)
{
    constexpr double steps = 1000;
    return std::round(share * steps) / steps;
}

json priorityRow(const gateway::admission_state& state)
{
    return { { "priority", state.priority }, { "offered_tokens_per_s", std::lround(state.offeredTokensPerSecond) },
        { "running_tokens", std::lround(state.runningTokens) }, { "waiting_tokens", std::lround(state.waitingTokens) },
        { "promised_tokens", std::lround(state.promisedTokens) }, { "due_tokens", std::lround(state.dueTokens) },
        { "reserved_share", roundedShare(state.reservedShare) },
        { "own_requested_tokens", std::lround(state.ownRequestedTokens) },
        { "own_admitted_tokens", std::lround(state.ownAdmittedTokens) } };
}

json serviceRows(const std::vector<gateway::admission_state>& states)
{
    auto services = json::array();
    for (const auto& state : states) {
        if (services.empty() || services.back().at("service") != state.service) {
            services.push_back({ { "service", state.service }, { "capacity_tokens", std::lround(state.capacity) },
                { "priorities", json::array() } });
        }
        services.back().at("priorities").push_back(priorityRow(state));
    }
    return services;
}

json queuedRow(const identified_request& request, steady_time now)
{
    const auto& entry = request.entry;
    // The deadline may have passed since the queue was last checked.
    const auto timeLeft = std::max(milliseconds(0), between(now, entry.deadline));
    json row { { "service", entry.service }, { "priority", entry.priority }, { "returning", entry.isReturning },
        { "tokens", std::lround(entry.tokens) }, { "age_ms", between(entry.enqueuedAt, now).count() },
        { "left_ms", timeLeft.count() } };
    if (!request.requestId.empty())
        row["request"] = request.requestId;
    return row;
}

} // namespace

std::string admissionPage(const admission_overview& overview, steady_time now)
{
    auto queued = json::array();
    for (const auto& request : overview.queued)
        queued.push_back(queuedRow(request, now));
    json page { { "mode", overview.isOn ? "auto" : "off" }, { "services", serviceRows(overview.states) },
        { "queued", std::move(queued) } };
    if (overview.othersAge)
        page["others_age_ms"] = overview.othersAge->count();
    // Ids come from callers and may be invalid UTF-8, for which dump() throws by default.
    constexpr int noIndent = -1;
    return page.dump(noIndent, ' ', false, json::error_handler_t::replace);
}

} // namespace buckthornrail::app
