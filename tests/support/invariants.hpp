/// @file
/// @brief Invariants of requests, with one checker each. Simulations and tests of real processes share them: both
/// compare what the targets executed with the responses that callers received.
#pragma once

#include "buckthornrail/core/result_code.hpp"

#include <optional>
#include <string>
#include <vector>

namespace test_support {

/// An entry of a target's execution log: one execution of a request, or one step of a chain.
struct execution_record {
    std::string target;
    std::string request; ///< id that the entry assigned
    std::uint32_t attempt = 0;
    std::string key; ///< idempotency key; empty: the request is idempotent
    bool isStep = false;
    std::uint32_t generation = 0;
    std::uint32_t token = 0;
    std::uint32_t firstLayer = 0;
    std::uint32_t endLayer = 0;
};

/// What a caller received for one request.
struct caller_record {
    std::string request;
    std::string key;
    bool hasResponse = false; ///< a final response was received
    buckthornrail::result_code code = buckthornrail::result_code::Ok;
    buckthornrail::ran_state ran = buckthornrail::ran_state::No;
    std::string text;
    std::string expected; ///< the complete response to this request
    std::uint32_t generation = 0; ///< chains: the last generation
};

/// @brief A response that is reported as complete is the whole response to its own request; a partial one is a prefix
/// of it.
std::vector<std::string> checkResponses(const std::vector<caller_record>& callers);
/// @brief A request that is reported as not run was not executed by any target.
std::vector<std::string> checkNotExecuted(
    const std::vector<caller_record>& callers, const std::vector<execution_record>& executions);
/// @brief Each idempotency key was executed at most once, no matter who sent its request again.
std::vector<std::string> checkKeysRunOnce(const std::vector<execution_record>& executions);
/// @brief No attempt was executed twice.
std::vector<std::string> checkAttempts(const std::vector<execution_record>& executions);
/// @brief In each generation, every layer ran at most once for each token and in order, and a token ran through all
/// layers before the next one began.
std::vector<std::string> checkLayers(const std::vector<execution_record>& executions, std::uint32_t layerCount);

} // namespace test_support
