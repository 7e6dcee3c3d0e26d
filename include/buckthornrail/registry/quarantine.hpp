/// @file
/// @brief Replicated quarantine of requests that crash the targets that run them.
///
/// Blamed are whole requests and parts of prompts, each identified by fingerprint: a retry arrives under another id and
/// at any gateway, and requests with a part that crashes targets need have nothing else in common. Each target that
/// ends shortly after starting a request counts as a crash of that request and of its parts.
///
/// - A whole request is a suspect after the first crash and runs at one target at a time. After the second it is held:
///   its target runs no other held request, so that one more crash proves it and costs a single target.
/// - A part is shared by requests that crash nothing, so a suspect part restricts none of them. When its presence at
///   several crashes in a row would be too much of a coincidence it is held, and requests with it run one at a time. A
///   crash in such a trial proves the part if other requests with it had crashed targets before. Parts that the same
///   crashes speak against equally are contested until a trial of a request with only one of them.
/// - A response clears the fingerprints of its request at once, as what crashes every target never gets one.
/// - A proven part explains its crashes: they no longer speak against anything else.
#pragma once

#include "buckthornrail/core/request_fingerprint.hpp"
#include "buckthornrail/registry/crash_evidence.hpp"
#include "buckthornrail/registry/target_record.hpp"

#include <optional>
#include <span>

namespace buckthornrail::registry {

/// Stage of a request's quarantine.
enum class quarantine_stage : std::uint8_t {
    None,
    Suspect, ///< one target ended while running it: runs at one target at a time
    Held, ///< two targets ended: as a suspect, and at a target without another held request
    Proven, ///< rejected everywhere until its timeout
};

inline constexpr std::array quarantineStageNames {
    enum_name<quarantine_stage> { quarantine_stage::None, "none" },
    enum_name<quarantine_stage> { quarantine_stage::Suspect, "suspect" },
    enum_name<quarantine_stage> { quarantine_stage::Held, "held" },
    enum_name<quarantine_stage> { quarantine_stage::Proven, "proven" },
};

/// A part of the prompt of a request that had started on a target shortly before its end.
struct suspect_part {
    request_fingerprint part;
    surprise presence = 0; ///< if something else ended the target
};

/// A target that ended, with the requests that had started there shortly before.
struct crash_report {
    target_incarnation target;
    std::vector<request_fingerprint> begun;
    /// For each request in `begun`, the parts of its prompt. Shorter when the last ones have none.
    std::vector<std::vector<suspect_part>> parts = {};

    /// @return the parts of a request in `begun`, by its index
    [[nodiscard]] std::span<const suspect_part> partsOf(std::size_t index) const
    {
        return index < parts.size() ? std::span(parts[index]) : std::span<const suspect_part>();
    }
};

/// Identifies a trial: one run of a quarantined request by one gateway. Drawn at random, so it is unique across
/// gateways and calls. 0 stands for no trial.
using trial_number = std::uint64_t;

/// A gateway's request to run a quarantined request at a target. A request with several quarantined fingerprints claims
/// each of them, under the same number.
struct trial_claim {
    request_fingerprint fingerprint;
    trial_number trial = 0;
    target_incarnation target; ///< where the request would start
    std::vector<target_incarnation> members = {}; ///< other targets of its path
};

/// The end of a trial, reported by its gateway.
struct trial_end {
    request_fingerprint fingerprint;
    trial_number trial = 0;
};

/// The timeout of an entry has passed on the leader's clock.
struct quarantine_expiry {
    request_fingerprint fingerprint;
    std::uint64_t revision = 0; ///< of the entry at that time; an entry changed since has a new timeout
};

/// Changes from gateways, the leader or an operator; one command of the replicated log.
struct quarantine_change {
    std::vector<crash_report> crashes;
    std::vector<trial_claim> claims;
    std::vector<trial_end> ends;
    std::vector<request_fingerprint> cleared; ///< got a complete response, or cleared by an operator
    std::vector<quarantine_expiry> expired;
    [[nodiscard]] bool isEmpty() const
    {
        return crashes.empty() && claims.empty() && ends.empty() && cleared.empty() && expired.empty();
    }
};

/// State of one fingerprint in the table.
struct quarantine_entry {
    quarantine_stage stage = quarantine_stage::Suspect;
    bool isPart = false; ///< of prompts; otherwise a whole request
    /// Of a held part: as much speaks against another part. A request with several contested parts is rejected.
    bool isContested = false;
    std::vector<target_incarnation> ended; ///< the most recent targets that ended while running it
    std::vector<surprise> presences; ///< for each of `ended`, as counted in `evidence`
    std::uint32_t crashes = 0; ///< number of such targets that nothing proven explains
    crash_evidence evidence; ///< against a part
    /// Of a part: the most recent requests with it under which targets ended. Of a request: its parts.
    std::vector<request_fingerprint> related;
    std::uint32_t proofs = 0; ///< crashes during a trial while held; each after the first doubles the proven timeout
    trial_number trial = 0; ///< in progress; 0: none
    target_incarnation trialTarget;
    std::vector<target_incarnation> trialMembers; ///< other targets of the path of the request on trial
    std::uint64_t revision = 0; ///< of the table at the entry's last change
    std::uint64_t stageRevision = 0; ///< of the table at the last change of its stage
};

/// An entry as sent to gateways.
struct quarantine_status {
    request_fingerprint fingerprint;
    quarantine_stage stage = quarantine_stage::None; ///< None: removed from the table
    bool isPart = false;
    bool isContested = false;
};

/// Changes of stages after a revision.
struct quarantine_delta {
    std::uint64_t to = 0; ///< the table's stage revision with these changes
    bool full = false; ///< replaces the receiver's whole copy
    std::vector<quarantine_status> standings;
};

/// Why a trial is refused.
enum class trial_refusal : std::uint8_t {
    None, ///< granted
    Running, ///< another trial of the same request is in progress
    TargetTaken, ///< another held request is on trial at that target
    Proven, ///< the request is rejected everywhere
    Unknown, ///< the request is no longer in quarantine
};

inline constexpr std::array trialRefusalNames {
    enum_name<trial_refusal> { trial_refusal::None, "granted" },
    enum_name<trial_refusal> { trial_refusal::Running, "running" },
    enum_name<trial_refusal> { trial_refusal::TargetTaken, "target_taken" },
    enum_name<trial_refusal> { trial_refusal::Proven, "proven" },
    enum_name<trial_refusal> { trial_refusal::Unknown, "unknown" },
};

/// Changes from a gateway, resent until their receipt arrives.
struct quarantine_batch {
    std::uint64_t number = 0; ///< sequence number within the gateway's process
    quarantine_change change;
};

/// A claim that was refused.
struct refused_trial {
    trial_number trial = 0;
    trial_refusal why = trial_refusal::None;
};

/// Confirms that a batch is committed. Claims that aren't listed as refused are granted.
struct quarantine_receipt {
    std::uint64_t number = 0;
    std::vector<refused_trial> refused;
};

/// Thresholds of parts, and bounds of the table's memory.
struct quarantine_options {
    /// Evidence from which on a part is held, at two crashes at least. A part that targets have often responded to
    /// before gathers evidence more slowly.
    surprise heldEvidence = 800;
    /// Evidence that suffices after three crashes, which one request alone may have caused.
    surprise heldEvidenceOfThree = 250;
    surprise provenEvidence = 1400; ///< from which on a crash in a trial proves a part
    surprise untriedEvidence = 1800; ///< from which on a part is proven without a trial
    /// Less evidence than this against another part of the same requests doesn't decide between the two.
    surprise decisiveMargin = 200;
    /// Different requests under which targets crashed before a part that they share is proven: in a trial, and without.
    std::size_t minRequestsOfPart = 2;
    std::size_t minRequestsOfUntriedPart = 3;
    /// Separate from the bound of suspects: a caller that sends many different crashing requests must neither evict the
    /// proven entries of others nor exhaust memory.
    std::size_t maxProven = 1024;
    std::size_t maxSuspects = 4096; ///< suspect and held entries; the least recently changed is evicted
    std::size_t maxRetainedRemovals = 1024; ///< lets a lagging gateway catch up without a full copy
};

/// @brief The replicated quarantine table: every controller applies the same changes in the same order. Deterministic
/// and without a clock: the leader submits the timeouts as expiries, see quarantine_timers.
/// @ingroup registry
class quarantine_table {
public:
    explicit quarantine_table(const quarantine_options& options = {})
        : m_options(options)
    {
    }

    /// @brief Applies a committed change. Reports, claims and expiries that are obsolete have no effect.
    void apply(const quarantine_change& change);

    /// @return null when the fingerprint isn't in quarantine
    [[nodiscard]] const quarantine_entry* find(const request_fingerprint& fingerprint) const;
    [[nodiscard]] const std::map<request_fingerprint, quarantine_entry>& entries() const { return m_entries; }
    /// @return why a claim is refused; None when it is granted, also after it was applied
    [[nodiscard]] trial_refusal refusalOf(const trial_claim& claim) const;
    /// @brief Incremented by every change.
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }
    /// @brief The last revision at which a stage changed; gateways synchronise to it.
    [[nodiscard]] std::uint64_t stageRevision() const { return m_stageRevision; }
    /// @brief Changes of stages after a stage revision; a full copy when that revision is too old or unknown here.
    [[nodiscard]] quarantine_delta changesSince(std::uint64_t since) const;
    /// @brief Replaces the whole table with a snapshot's.
    void restore(std::map<request_fingerprint, quarantine_entry> entries, std::uint64_t revision);

private:
    /// Trials that a crash ended: the parts on trial at the target, by trial.
    using ended_trials = std::map<trial_number, std::vector<request_fingerprint>>;

    void applyCrash(const crash_report& report);
    /// @brief Counts a crash of a whole request.
    void applyCrash(
        const request_fingerprint& fingerprint, const target_incarnation& target, std::span<const suspect_part> parts);
    /// @brief Counts a crash of a part. @param request that had the part
    void applyPartCrash(const suspect_part& suspect, const target_incarnation& target,
        const request_fingerprint& request, ended_trials& trials);
    /// @return whether no entry has recorded the end of a target yet
    [[nodiscard]] bool isNewEnd(const target_incarnation& target) const;
    /// @return whether the evidence suffices to hold a part
    [[nodiscard]] bool isHeldPart(const quarantine_entry& entry) const;
    /// @brief Decides which of the parts that a crashed trial ran is proven.
    void decideTrial(const std::vector<request_fingerprint>& parts);
    /// @brief Decides about a part whose crashes happened outside of trials.
    void decideUntried(const request_fingerprint& part);
    /// @brief Several trials run through a crashed target: none of them proves anything.
    void endMeetingTrials(const target_incarnation& target);
    /// @return other unproven parts that at least all crashes of a part speak against, with about the same evidence
    [[nodiscard]] std::vector<request_fingerprint> rivalsOf(const request_fingerprint& part) const;
    /// @return proven parts that explain a crash
    [[nodiscard]] std::vector<request_fingerprint> explanationsOf(const crash_report& report) const;
    /// @brief The crashes of a proven part no longer speak against anything else.
    void explainCrashes(const request_fingerprint& proven);
    /// @brief Takes explained crashes out of an entry. @return whether any is left
    bool forgiveCrashes(quarantine_entry& entry, const std::vector<target_incarnation>& explained);
    /// @return the entry of a fingerprint, which is created if it is unknown
    quarantine_entry& entryOf(const request_fingerprint& fingerprint, bool isPart);
    /// @brief Records the end of a target in an entry. @return false when it was recorded before
    bool recordEnd(quarantine_entry& entry, const target_incarnation& target);
    void prove(const request_fingerprint& fingerprint, quarantine_entry& entry);
    void setContested(quarantine_entry& entry, bool isContested);
    /// @brief Removes a fingerprint that was cleared. If it was one of two contested parts, the other one is proven.
    void applyClearance(const request_fingerprint& fingerprint);
    void applyClaim(const trial_claim& claim);
    void applyEnd(const trial_end& end);
    void applyExpiry(const quarantine_expiry& expiry);
    void remove(const request_fingerprint& fingerprint);
    void setStage(quarantine_entry& entry, quarantine_stage stage);
    void endTrial(quarantine_entry& entry);
    /// @brief Evicts an entry that isn't proven if there is no room for another one.
    void prune();

    quarantine_options m_options;
    std::map<request_fingerprint, quarantine_entry> m_entries;
    std::map<std::uint64_t, request_fingerprint> m_removed; ///< by revision of the removal
    std::size_t m_provenCount = 0;
    std::uint64_t m_revision = 0;
    std::uint64_t m_stageRevision = 0;
    std::uint64_t m_prunedRevision = 0; ///< deltas since an earlier revision are incomplete
};

/// @brief Time after which an unchanged entry leaves its state: a trial ends, a proven entry becomes held, any other is
/// removed.
[[nodiscard]] milliseconds timeoutOf(const quarantine_entry& entry);

/// @brief The leader's timeouts of entries. A timeout starts when the leader first sees an entry at its revision.
/// @ingroup registry
class quarantine_timers {
public:
    /// @brief Restarts all timeouts when this controller becomes the leader.
    void reset()
    {
        m_timers.clear();
        m_seenRevision.reset();
    }
    /// @brief Finds entries whose timeout has passed. An entry that stays unchanged is returned again after a retry
    /// period, in case its expiry was not committed.
    [[nodiscard]] std::vector<quarantine_expiry> takeExpired(const quarantine_table& table, steady_time now);

private:
    struct timer {
        std::uint64_t revision = 0;
        steady_time deadline {};
    };
    std::map<request_fingerprint, timer> m_timers;
    std::optional<std::uint64_t> m_seenRevision;
};

/// @brief A gateway's copy of the stages, kept current by deltas.
/// @ingroup registry
class quarantine_view {
public:
    /// What the gateway knows of a fingerprint in quarantine.
    struct known_status {
        quarantine_status status;
        steady_time knownSince {}; ///< when this gateway learnt of it
    };

    void apply(const quarantine_delta& delta, steady_time now = {});
    /// @return None for a fingerprint that isn't in quarantine
    [[nodiscard]] quarantine_stage stageOf(const request_fingerprint& fingerprint) const;
    /// @return null for a fingerprint that isn't in quarantine
    [[nodiscard]] const known_status* find(const request_fingerprint& fingerprint) const;
    [[nodiscard]] bool isEmpty() const { return m_known.empty(); }
    [[nodiscard]] std::size_t size() const { return m_known.size(); }
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }

private:
    std::map<request_fingerprint, known_status> m_known;
    std::uint64_t m_revision = 0;
};

} // namespace buckthornrail::registry
