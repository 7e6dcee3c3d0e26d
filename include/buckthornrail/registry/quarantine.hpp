/// @file
/// @brief Replicated quarantine of requests that crash the targets that run them.
///
/// Requests are identified by fingerprint, since a retry arrives under another id and at any gateway. Each target that
/// ends shortly after starting a request counts as a crash of that request. After the first crash the request is a
/// suspect and runs at one target at a time. After the second it is held: its target runs no other held request, so
/// that one more crash proves it and costs a single target. A complete response clears a fingerprint at once, as a
/// request that crashes every target never gets one.
#pragma once

#include "buckthornrail/core/request_fingerprint.hpp"
#include "buckthornrail/registry/target_record.hpp"

#include <optional>

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

/// A target that ended, with the requests that had started there shortly before.
struct crash_report {
    target_incarnation target;
    std::vector<request_fingerprint> begun;
};

/// Identifies a trial: one run of a quarantined request by one gateway. Drawn at random, so it is unique across
/// gateways and calls. 0 stands for no trial.
using trial_number = std::uint64_t;

/// A gateway's request to run a quarantined request at a target.
struct trial_claim {
    request_fingerprint fingerprint;
    trial_number trial = 0;
    target_incarnation target; ///< where the request would start
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
    std::vector<target_incarnation> ended; ///< the most recent targets that ended while running it
    std::uint32_t crashes = 0; ///< total number of such targets
    std::uint32_t proofs = 0; ///< crashes during a trial while held; each after the first doubles the proven timeout
    trial_number trial = 0; ///< in progress; 0: none
    target_incarnation trialTarget;
    std::uint64_t revision = 0; ///< of the table at the entry's last change
    std::uint64_t stageRevision = 0; ///< of the table at the last change of its stage
};

/// An entry as sent to gateways.
struct quarantine_status {
    request_fingerprint fingerprint;
    quarantine_stage stage = quarantine_stage::None; ///< None: removed from the table
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

/// Bounds of the table's memory.
struct quarantine_options {
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
    void applyCrash(const request_fingerprint& fingerprint, const target_incarnation& target);
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
    std::map<target_incarnation, request_fingerprint> m_trialTargets; ///< trials of held entries, by target
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
    void reset() { m_timers.clear(); }
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
    void apply(const quarantine_delta& delta);
    /// @return None for a fingerprint that isn't in quarantine
    [[nodiscard]] quarantine_stage stageOf(const request_fingerprint& fingerprint) const;
    [[nodiscard]] bool isEmpty() const { return m_stages.empty(); }
    [[nodiscard]] std::size_t size() const { return m_stages.size(); }
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }

private:
    std::map<request_fingerprint, quarantine_stage> m_stages;
    std::uint64_t m_revision = 0;
};

} // namespace buckthornrail::registry
