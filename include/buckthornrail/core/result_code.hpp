/// @file
/// @brief Numbered results that reach callers, operators and other processes. Catalogue: docs/RESULT_CODES.md.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace buckthornrail {

/// Numbers are permanent: they are never changed, nor reused after a code is removed.
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

/// Row of the catalogue.
struct result_info {
    result_code code;
    std::string_view name; ///< snake case; as stable as the number
    int httpStatus; ///< status of the response to the caller
    int retryAfterSeconds; ///< value of Retry-After; 0: no such header, as a retry does not help
    std::string_view message; ///< for humans
};

/// @brief The whole catalogue, sorted by number.
std::span<const result_info> resultTable();

/// @brief Looks up the row of a code; an unknown one yields the row of MalformedMessage.
const result_info& describe(result_code code);

/// @brief Looks up a code by number. @return nothing if the catalogue doesn't contain it
std::optional<result_code> resultFromNumber(std::uint16_t number);

/// Whether any target has started to run a request.
enum class ran_state {
    No, ///< proven: no target has started it
    Yes, ///< a target has started it
    Unknown, ///< can't be determined
};

/// @return "no", "yes" or "unknown"
std::string_view nameOf(ran_state ran);

/// A result code with details.
struct failure {
    result_code code = result_code::Ok;
    std::string reason; ///< details for humans; may be empty
};

} // namespace buckthornrail
