/// @file
/// @brief Formats the members of the replicated log as JSON, and sets their metrics.
#include "app/shared/members_page.hpp"

#include <nlohmann/json.hpp>

namespace buckthornrail::app {

std::string membersPage(const replicated_log& log, steady_time now)
{
    const auto states = log.memberStates(now);
    const auto tolerance = agreement::toleranceOf(states);
    auto rows = nlohmann::json::array();
    for (const auto& state : states) {
        const bool isSelf = state.subject.id == log.replica().self();
        rows.push_back({ { "address", state.subject.address }, { "voter", state.subject.voter },
            { "leader", state.isLeader }, { "reachable", state.isReachable }, { "leaving", state.isLeaving },
            { "silent_ms", isSelf ? 0 : between(state.heardAt, now).count() } });
    }
    return nlohmann::json {
        { "leader", log.leaderAddress() }, { "term", log.replica().term() }, { "voters", tolerance.voters },
        { "quorum", tolerance.quorum }, { "reachable_voters", tolerance.reachableVoters },
        { "bearable_losses", tolerance.bearable() }, { "tolerated_losses", log.toleratedLosses() },
        { "members", std::move(rows) }
    }.dump();
}

void updateMemberMetrics(const replicated_log& log, telemetry::metrics& metrics, steady_time now)
{
    const auto tolerance = agreement::toleranceOf(log.memberStates(now));
    metrics.gauge("voters", static_cast<double>(tolerance.voters));
    metrics.gauge("reachable_voters", static_cast<double>(tolerance.reachableVoters));
    metrics.gauge("learners", static_cast<double>(tolerance.learners));
    metrics.gauge("bearable_losses", static_cast<double>(tolerance.bearable()));
    metrics.gauge("tolerated_losses", static_cast<double>(log.toleratedLosses()));
}

} // namespace buckthornrail::app
