/// @file
/// @brief Invariants of a single call in a soak test.
#pragma once

#include "soak/caller_pool.hpp"
#include "soak/violation_log.hpp"

namespace test_support {

inline std::uint64_t eventCountOf(const std::string& path) { return std::stoull(path.substr(path.rfind('n') + 1)); }

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
        const bool saysNotRun = response.status == 503 || response.status == 429 || response.status == 408;
        if (saysNotRun && runs > 0)
            violations.report(description + " was reported as not run, but ran");
    }
    if (response.status != 200)
        return;
    if (response.serverStamp.empty())
        violations.report(description + " has no server stamp");
    const std::string expected = record.path.starts_with("/stream/")
        ? gateway_cluster::streamBody(record.path, eventCountOf(record.path))
        : stand_in_fleet::plainBody(record.path);
    const bool isRight = response.isComplete ? response.body == expected : expected.starts_with(response.body);
    if (!isRight)
        violations.report(description
            + (response.isComplete ? " is complete, but isn't the response to its request"
                                   : " isn't a prefix of the response to its request"));
}

} // namespace test_support
