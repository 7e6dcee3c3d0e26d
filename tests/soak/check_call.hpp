/// @file
/// @brief Invariants of a single call in a soak test.
#pragma once

#include "soak/caller_pool.hpp"
#include "soak/violation_log.hpp"

#include <functional>

namespace test_support {

inline constexpr std::string_view rankedPrefix = "/rank"; ///< of the paths of ranked routes

inline std::uint64_t eventCountOf(const std::string& path) { return std::stoull(path.substr(path.rfind('n') + 1)); }

/// Routes to the plain service are named after their kind; all others lead to the layered service.
inline bool isStream(const std::string& path) { return !path.starts_with("/safe/") && !path.starts_with("/unsafe/"); }

/// @brief Checks the response to a call.
/// @param runs how often targets executed the call
inline void checkCall(const call_record& record, std::size_t runs, violation_log& violations)
{
    const auto& response = record.response;
    const std::string description
        = record.requestId + " (" + record.path + ", status " + std::to_string(response.status) + ")";
    if (record.path.starts_with("/unsafe/")) {
        if (runs > 1)
            violations.report(description + " ran " + std::to_string(runs) + " times");
    }
    const bool saysNotRun = response.status == 503 || response.status == 429 || response.status == 408;
    const bool isRanked = record.path.starts_with(rankedPrefix);
    if ((record.path.starts_with("/unsafe/") || isRanked) && saysNotRun && runs > 0)
        violations.report(description + " was reported as not run, but ran");
    if (response.status != 200)
        return;
    if (response.serverStamp.empty())
        violations.report(description + " has no server stamp");
    const std::string expected = isStream(record.path)
        ? gateway_cluster::streamBody(record.path, eventCountOf(record.path))
        : stand_in_fleet::plainBody(record.path);
    const bool isRight = response.isComplete ? response.body == expected : expected.starts_with(response.body);
    if (!isRight)
        violations.report(description
            + (response.isComplete ? " is complete, but isn't the response to its request"
                                   : " isn't a prefix of the response to its request"));
}

/// @brief Checks and counts calls.
/// @param runs all executions at targets
/// @param lacksDocument whether a gateway refused a call because it could have no document
inline void checkCalls(const std::vector<call_record>& records, const std::vector<fleet_run>& runs,
    const std::function<bool(const call_record&)>& lacksDocument, violation_log& violations)
{
    std::map<std::string, std::size_t> runCounts;
    for (const auto& run : runs) {
        ++runCounts[run.requestId];
        if (run.workspace != "w1")
            violations.report(run.requestId + " ran for workspace '" + run.workspace + "'");
    }
    std::map<int, std::size_t> statuses;
    std::size_t withoutDocument = 0;
    for (const auto& record : records) {
        ++statuses[record.response.status];
        checkCall(record, runCounts[record.requestId], violations);
        if (!lacksDocument(record))
            continue;
        ++withoutDocument;
        if (runCounts[record.requestId] > 0)
            violations.report(record.requestId + " was refused for lack of a document, but ran");
    }
    std::cout << "calls " << records.size();
    for (const auto& [status, count] : statuses)
        std::cout << ", " << status << ": " << count;
    std::cout << "\nwithout a document while there was no quorum: " << withoutDocument << std::endl;
    if (statuses[200] * 4 < records.size() - withoutDocument)
        violations.report("less than a quarter of the calls were served");
}

} // namespace test_support
