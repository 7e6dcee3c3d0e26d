/// @file
/// @brief What holds for each call of a soak.
#pragma once

#include "soak/callers.hpp"
#include "soak/verdict.hpp"

namespace test_support {

inline std::uint64_t eventsOf(const std::string& path) { return std::stoull(path.substr(path.rfind('n') + 1)); }

/// @brief Judges a call by what its caller got, and how often targets ran it.
inline void judgeCall(const call_record& record, std::size_t runs, verdict& found)
{
    const auto& answer = record.answer;
    const std::string what = record.requestId + " (" + record.path + ", status " + std::to_string(answer.status) + ")";
    if (record.path.starts_with("/unsafe/")) {
        if (runs > 1)
            found.broken(what + " ran " + std::to_string(runs) + " times");
        const bool saysNotRun = answer.status == 503 || answer.status == 429 || answer.status == 408;
        if (saysNotRun && runs > 0)
            found.broken(what + " was told not to have run, and ran");
    }
    if (answer.status != 200)
        return;
    if (answer.serverStamp.empty())
        found.broken(what + " bears no target's mark");
    const std::string expected = record.path.starts_with("/stream/")
        ? gateway_world::streamBody(record.path, eventsOf(record.path))
        : stand_in_fleet::plainBody(record.path);
    const bool isRight = answer.isComplete ? answer.body == expected : expected.starts_with(answer.body);
    if (!isRight)
        found.broken(what + (answer.isComplete ? " looks whole and isn't its own" : " begins with other bytes"));
}

} // namespace test_support
