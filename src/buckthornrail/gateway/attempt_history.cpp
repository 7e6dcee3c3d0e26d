/// @file
/// @brief The decision which targets count against a route's limit.
#include "buckthornrail/gateway/attempt_history.hpp"

#include <algorithm>

namespace buckthornrail::gateway {
namespace {

struct outcome_row {
    attempt_outcome outcome;
    ran_state ran;
};

constexpr std::array outcomeRows {
    outcome_row { attempt_outcome::Unsent, ran_state::No },
    outcome_row { attempt_outcome::Refused, ran_state::No },
    outcome_row { attempt_outcome::ConnectionLost, ran_state::Unknown },
    outcome_row { attempt_outcome::InvalidResponse, ran_state::Unknown },
    outcome_row { attempt_outcome::Failed, ran_state::Yes },
    outcome_row { attempt_outcome::Stalled, ran_state::Unknown },
    outcome_row { attempt_outcome::Interrupted, ran_state::Unknown },
    outcome_row { attempt_outcome::Cancelled, ran_state::Unknown },
};

/// Evidence that a target's process no longer exists. A refused connection alone is none: a partition may refuse
/// connections on behalf of a target that runs on behind it.
constexpr std::array proofsOfEnd { target_evidence::Ended, target_evidence::Replaced };

} // namespace

ran_state ranStateOf(attempt_outcome outcome)
{
    for (const auto& row : outcomeRows) {
        if (row.outcome == outcome)
            return row.ran;
    }
    return ran_state::Unknown;
}

bool countsAgainstLimit(ran_state ran, target_evidence evidence)
{
    const bool hasEnded = std::find(proofsOfEnd.begin(), proofsOfEnd.end(), evidence) != proofsOfEnd.end();
    return ran != ran_state::No && !hasEnded;
}

void attempt_history::record(
    const registry::target_incarnation& target, const std::string& address, attempt_outcome outcome)
{
    auto found = std::find_if(
        m_targets.begin(), m_targets.end(), [&target](const auto& known) { return known.target == target; });
    if (found == m_targets.end())
        found = m_targets.insert(m_targets.end(), { target, address, outcome, ran_state::No });
    const auto ran = ranStateOf(outcome);
    if (ran == ran_state::No)
        return;
    found->outcome = outcome;
    found->ran = ran;
}

std::set<registry::target_incarnation> attempt_history::countedTargets(const evidence_source& evidenceOf) const
{
    std::set<registry::target_incarnation> counted;
    for (const auto& known : m_targets) {
        if (countsAgainstLimit(known.ran, evidenceOf(known.target, known.address)))
            counted.insert(known.target);
    }
    return counted;
}

std::string attempt_history::describe(const evidence_source& evidenceOf) const
{
    std::string described;
    for (const auto& known : m_targets) {
        if (known.ran == ran_state::No)
            continue;
        const auto evidence = evidenceOf(known.target, known.address);
        described += described.empty() ? "" : ",";
        described += text(known.target) + ":" + std::string(nameIn(attemptOutcomeNames, known.outcome)) + ":"
            + std::string(nameIn(targetEvidenceNames, evidence))
            + (countsAgainstLimit(known.ran, evidence) ? ":counted" : ":left_out");
    }
    return described;
}

} // namespace buckthornrail::gateway
