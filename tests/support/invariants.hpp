/// @file
/// @brief The brief's promises on requests, one checker each. Shared by the worlds in one process and by the tests
/// over real processes: both judge by what targets executed and what callers were told.
#pragma once

#include "buckthornrail/core/result_code.hpp"

#include <optional>
#include <string>
#include <vector>

namespace test_support {

/// A line of a target's execution log: one run of a request, or one step of a chain.
struct execution_record {
    std::string target;
    std::string request; ///< as the entry named it
    std::uint32_t attempt = 0;
    std::string key; ///< of a non-idempotent request
    bool isStep = false;
    std::uint32_t generation = 0;
    std::uint32_t token = 0;
    std::uint32_t firstLayer = 0;
    std::uint32_t endLayer = 0;
};

/// What a caller saw of one request.
struct caller_record {
    std::string request;
    std::string key;
    bool hasResponse = false; ///< a final answer came
    buckthornrail::result_code code = buckthornrail::result_code::Ok;
    buckthornrail::ran_state ran = buckthornrail::ran_state::No;
    std::string text;
    std::string expected; ///< the whole answer to this request
    std::uint32_t generation = 0; ///< chains: the last generation
};

/// @brief An answer that was called complete is the whole answer to its own request; a part of one is a beginning.
std::vector<std::string> checkResponses(const std::vector<caller_record>& callers);
/// @brief A request of which the caller was told that it was not run was not run anywhere.
std::vector<std::string> checkNotExecuted(
    const std::vector<caller_record>& callers, const std::vector<execution_record>& executions);
/// @brief A non-idempotent request ran at most once, whoever sent it again.
std::vector<std::string> checkKeysRunOnce(const std::vector<execution_record>& executions);
/// @brief No attempt ran twice.
std::vector<std::string> checkAttempts(const std::vector<execution_record>& executions);
/// @brief In each generation every layer ran at most once for each token, and in order; a token that came out ran all.
std::vector<std::string> checkLayers(const std::vector<execution_record>& executions, std::uint32_t layerCount);

} // namespace test_support
