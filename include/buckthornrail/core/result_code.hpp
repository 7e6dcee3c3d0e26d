/// @file
/// @brief Numbered results that reach callers, operators and other processes. Catalogue: docs/RESULT_CODES.md.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace buckthornrail {

/// Every result has one number for good; numbers are never used again.
enum class result_code : std::uint16_t {
    Ok = 0,
    MalformedRequest = 1001,
    BodyTooLarge = 1002,
    UnknownWorkspace = 1003,
    UnknownModel = 1004,
    BadHeader = 1005,
    UnknownService = 1006,
    KeyRequired = 1007,
    KeyReused = 1008,
    SlowSender = 1009,
    Unauthorized = 1010,
    NotFound = 1011,
    HeadTooLarge = 1012,
    NoTarget = 2001,
    Busy = 2002,
    DeadlinePassed = 2003,
    NoConfiguration = 2004,
    ClaimUnavailable = 2005,
    ShuttingDown = 2006,
    WorkspaceLimit = 2007,
    RetryBudgetSpent = 2008,
    RequestHeld = 2009,
    WrongIncarnation = 3001,
    StaleConfiguration = 3002,
    Draining = 3003,
    QueueFull = 3004,
    StartDeadlinePassed = 3005,
    Revoked = 3006,
    StaleLink = 3007,
    LeaseExpired = 3008,
    BadChain = 3009,
    FencedGeneration = 3010,
    TargetNotReady = 3011,
    StaleFence = 3013,
    TargetFailed = 4001,
    TargetStalled = 4002,
    AnswerIncomplete = 4003,
    OutcomeUnknown = 4004,
    Cancelled = 4005,
    TargetRejected = 4006,
    RequestQuarantined = 4007,
    VersionConflict = 5001,
    InvalidDocument = 5002,
    NoQuorum = 5003,
    AlreadyInitialized = 5004,
    LastCopy = 5005,
    BadSettings = 6001,
    StorageFailed = 6002,
    StorageCorrupt = 6003,
    MalformedMessage = 7001,
    UnsupportedProtocol = 7002,
};

/// One row of the catalogue.
struct result_info {
    result_code code;
    std::string_view name; ///< snake case, stable
    int httpStatus; ///< status that a caller sees
    int retryAfterSeconds; ///< 0: coming back does not help
    std::string_view message; ///< what happened, for a person
};

/// @brief The whole catalogue, in order of number.
std::span<const result_info> resultTable();

/// @brief Row of a code; an unknown number gives the row of MalformedMessage.
const result_info& describe(result_code code);

/// @brief Code with that number, if there is one.
std::optional<result_code> resultFromNumber(std::uint16_t number);

/// Whether a request was run anywhere.
enum class ran_state {
    No, ///< proved: no target began it
    Yes, ///< a target began it
    Unknown, ///< can't be known
};

/// @brief Name of a ran_state: "no", "yes", "unknown".
std::string_view nameOf(ran_state ran);

/// A result with its explanation.
struct failure {
    result_code code = result_code::Ok;
    std::string reason; ///< detail for a person; may be empty
};

} // namespace buckthornrail
