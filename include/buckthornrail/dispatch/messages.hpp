/// @file
/// @brief What an entry and a sidecar say to each other about attempts.
#pragma once

#include "buckthornrail/core/identifiers.hpp"
#include "buckthornrail/core/priority.hpp"
#include "buckthornrail/core/result_code.hpp"
#include "buckthornrail/execution/chain.hpp"

#include <string>
#include <vector>

namespace buckthornrail::dispatch {

/// One HTTP header that is passed through.
struct header_field {
    std::string name;
    std::string value;
    bool operator==(const header_field&) const = default;
};

enum class work_kind : std::uint8_t {
    Completion, ///< tokens from one target
    ServiceCall, ///< one HTTP call to a plain service
    Stage, ///< take part in a chain
};

/// What a target is asked to do.
struct work_order {
    work_kind kind = work_kind::Completion;
    std::string model;
    std::string version;
    std::string prompt; ///< with the tokens already given, when an answer is resumed
    std::uint32_t maxTokens = 0; ///< still to be made
    std::string method; ///< ServiceCall
    std::string path; ///< ServiceCall
    std::vector<header_field> headers; ///< ServiceCall
    std::string body; ///< ServiceCall
    execution::chain_plan chain; ///< Stage
    std::uint32_t stage = 0; ///< Stage: position in the chain
};

/// Entry to sidecar: run this if you can start it in time.
struct attempt_offer {
    attempt_id attempt;
    incarnation_number incarnation = 0; ///< of the sidecar that it is meant for
    configuration_version configuration = 0;
    std::uint32_t startWithinMs = 0; ///< on receipt it becomes a deadline
    std::uint32_t finishWithinMs = 0;
    std::string workspace;
    std::uint32_t weight = 1; ///< the workspace's share
    request_priority priority = request_priority::Normal;
    bool nonIdempotent = false;
    work_order work;
};

/// Sidecar to entry: the work is queued; it was not started.
struct attempt_accepted {
    attempt_id attempt;
};

/// Sidecar to entry: the target has not begun the work and never will under this attempt.
struct attempt_refused {
    attempt_id attempt;
    result_code code = result_code::Ok;
    std::string reason;
};

/// Sidecar to entry: the target has been given the work.
struct attempt_started {
    attempt_id attempt;
};

enum class frame_kind : std::uint8_t {
    Head, ///< status and headers of a service's answer
    Data, ///< one token, or a piece of a body
};

/// One piece of an answer. Sequence numbers count from 0 without a gap.
struct response_frame {
    attempt_id attempt;
    std::uint32_t sequence = 0;
    frame_kind kind = frame_kind::Data;
    int status = 0; ///< Head
    std::vector<header_field> headers; ///< Head
    std::string bytes; ///< Data
};

/// The last message of an attempt that was started.
struct response_end {
    attempt_id attempt;
    result_code code = result_code::Ok;
    std::string reason;
    std::uint32_t frameCount = 0;
    std::uint64_t digest = 0; ///< xxHash64 over all frames, see response_digest
    std::string finishReason; ///< "stop" or "length" for completions
};

/// Entry to sidecar: do not start this attempt.
struct attempt_revoke {
    attempt_id attempt;
    incarnation_number incarnation = 0;
    bool cancelStarted = false; ///< also stop it when the target has begun
};

enum class revoke_outcome : std::uint8_t {
    NotStarted, ///< it never will be: a tombstone stands
    Started,
    Unknown, ///< an earlier incarnation may have started it
};

inline constexpr std::array revokeNames {
    enum_name<revoke_outcome> { revoke_outcome::NotStarted, "not_started" },
    enum_name<revoke_outcome> { revoke_outcome::Started, "started" },
    enum_name<revoke_outcome> { revoke_outcome::Unknown, "unknown" },
};

struct revoke_reply {
    attempt_id attempt;
    revoke_outcome outcome = revoke_outcome::Unknown;
};

/// Entry to sidecar: send me the answer of this attempt from its first frame.
struct response_attach {
    attempt_id attempt;
    incarnation_number incarnation = 0;
};

enum class attach_outcome : std::uint8_t {
    Attached, ///< frames follow
    NotStarted, ///< it never will be: a tombstone stands
    Unknown, ///< an earlier incarnation may have started it
    Gone, ///< it ran, but the answer is no longer kept
};

struct attach_reply {
    attempt_id attempt;
    attach_outcome outcome = attach_outcome::Unknown;
};

/// Sidecar to entries: load of the target, sent with each refusal and end.
struct load_report {
    instance_id instance;
    std::uint32_t running = 0; ///< started and not ended, from all entries
    std::uint32_t queued = 0;
    std::uint32_t slots = 1;
};

} // namespace buckthornrail::dispatch
