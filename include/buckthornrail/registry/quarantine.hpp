/// @file
/// @brief Requests that end the targets that run them: what all gateways together know of them, replicated.
///
/// A request is told by its fingerprint, since it comes again under other ids at any gateway. Each target that ends
/// shortly after it has begun a request counts against it. From the first one on, a suspect runs in one place at a
/// time; from the second one on, beside no other suspect, so that one more end proves it and costs one target. A whole
/// answer clears a fingerprint at once: a request that ends whoever begins it can't have one.
#pragma once

#include "buckthornrail/core/request_fingerprint.hpp"
#include "buckthornrail/registry/target_record.hpp"

#include <optional>

namespace buckthornrail::registry {

/// What is held against a request.
enum class quarantine_stage : std::uint8_t {
    None,
    Suspect, ///< under way at one target when it ended: runs once at a time
    Held, ///< at two: the same, and beside no other one that is held
    Proven, ///< runs nowhere for a term
};

inline constexpr std::array quarantineStageNames {
    enum_name<quarantine_stage> { quarantine_stage::None, "none" },
    enum_name<quarantine_stage> { quarantine_stage::Suspect, "suspect" },
    enum_name<quarantine_stage> { quarantine_stage::Held, "held" },
    enum_name<quarantine_stage> { quarantine_stage::Proven, "proven" },
};

/// A target ended shortly after these requests had begun there.
struct crash_report {
    target_incarnation target;
    std::vector<request_fingerprint> begun;
};

/// A gateway wants to run a suspect. Drawn at random, so that the number names the gateway and its call as well.
using trial_number = std::uint64_t;

struct trial_claim {
    request_fingerprint fingerprint;
    trial_number trial = 0;
    target_incarnation target; ///< that it would begin at
};

struct trial_end {
    request_fingerprint fingerprint;
    trial_number trial = 0;
};

/// The term of an entry has ended, as the leader's clock shows.
struct quarantine_expiry {
    request_fingerprint fingerprint;
    std::uint64_t revision = 0; ///< of the entry that the leader saw; another one has a term of its own
};

/// What a gateway, a leader or an operator has to say; one command of the log.
struct quarantine_change {
    std::vector<crash_report> crashes;
    std::vector<trial_claim> claims;
    std::vector<trial_end> ends;
    std::vector<request_fingerprint> cleared; ///< answered as a whole, or by an operator's word
    std::vector<quarantine_expiry> expired;
    [[nodiscard]] bool isEmpty() const
    {
        return crashes.empty() && claims.empty() && ends.empty() && cleared.empty() && expired.empty();
    }
};

/// One fingerprint in the table.
struct quarantine_entry {
    quarantine_stage stage = quarantine_stage::Suspect;
    std::vector<target_incarnation> ended; ///< targets that ended under it, the last ones
    std::uint32_t crashes = 0; ///< how many did in all
    std::uint32_t proofs = 0; ///< ends beside no other suspect: each term is twice the one before
    trial_number trial = 0; ///< under way; 0: none
    target_incarnation trialTarget;
    std::uint64_t revision = 0; ///< of the table at the entry's last change
    std::uint64_t stageRevision = 0; ///< at the last change of its stage
};

/// What gateways are told of an entry.
struct quarantine_status {
    request_fingerprint fingerprint;
    quarantine_stage stage = quarantine_stage::None; ///< None: it is in the table no more
};

/// Changes of standings after a revision.
struct quarantine_delta {
    std::uint64_t to = 0;
    bool full = false; ///< replaces all that the receiver holds
    std::vector<quarantine_status> standings;
};

/// Why a trial may not begin.
enum class trial_refusal : std::uint8_t {
    None, ///< it may
    Running, ///< the same request is on trial somewhere else
    TargetTaken, ///< another one is on trial at that target
    Proven,
    Unknown, ///< nothing is held against the request any more
};

inline constexpr std::array trialRefusalNames {
    enum_name<trial_refusal> { trial_refusal::None, "granted" },
    enum_name<trial_refusal> { trial_refusal::Running, "running" },
    enum_name<trial_refusal> { trial_refusal::TargetTaken, "target_taken" },
    enum_name<trial_refusal> { trial_refusal::Proven, "proven" },
    enum_name<trial_refusal> { trial_refusal::Unknown, "unknown" },
};

/// What a gateway has to say. Sent again until a receipt for it comes.
struct quarantine_batch {
    std::uint64_t number = 0; ///< counts the batches of a gateway's process
    quarantine_change change;
};

/// A claim that came to nothing.
struct refused_trial {
    trial_number trial = 0;
    trial_refusal why = trial_refusal::None;
};

/// A batch stands in the log. Its claims that aren't named are granted.
struct quarantine_receipt {
    std::uint64_t number = 0;
    std::vector<refused_trial> refused;
};

struct quarantine_options {
    /// A caller who sends many requests that end targets must not push out what is proved of others, nor fill memory.
    std::size_t maxProven = 1024;
    std::size_t maxSuspects = 4096; ///< the one that changed longest ago makes room
    std::size_t maxRetainedRemovals = 1024; ///< so that a gateway that lags needn't be told all
};

/// @brief The replicated table: every controller applies the same changes in the same order. It has no clock: the
/// leader's tells it of terms that have ended.
/// @ingroup registry
class quarantine_table {
public:
    explicit quarantine_table(const quarantine_options& options = {})
        : m_options(options)
    {
    }

    void apply(const quarantine_change& change);

    [[nodiscard]] const quarantine_entry* find(const request_fingerprint& fingerprint) const;
    [[nodiscard]] const std::map<request_fingerprint, quarantine_entry>& entries() const { return m_entries; }
    /// @brief Whether a claim that was applied holds.
    [[nodiscard]] trial_refusal refusalOf(const trial_claim& claim) const;
    /// @brief Counts every change.
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }
    /// @brief The revision that gateways are told of: the last one at which a stage changed.
    [[nodiscard]] std::uint64_t stageRevision() const { return m_stageRevision; }
    [[nodiscard]] quarantine_delta changesSince(std::uint64_t since) const;
    /// @brief Replaces the whole table, from a snapshot.
    void restore(std::map<request_fingerprint, quarantine_entry> entries, std::uint64_t revision);

private:
    void applyCrash(const request_fingerprint& fingerprint, const target_incarnation& target);
    void applyClaim(const trial_claim& claim);
    void applyEnd(const trial_end& end);
    void applyExpiry(const quarantine_expiry& expiry);
    void remove(const request_fingerprint& fingerprint);
    void setStage(quarantine_entry& entry, quarantine_stage stage);
    void endTrial(quarantine_entry& entry);
    /// @brief Makes room for one more entry that isn't proven.
    void prune();

    quarantine_options m_options;
    std::map<request_fingerprint, quarantine_entry> m_entries;
    std::map<target_incarnation, request_fingerprint> m_trialTargets; ///< of entries that are held
    std::map<std::uint64_t, request_fingerprint> m_removed; ///< by the revision at which it was
    std::size_t m_provenCount = 0;
    std::uint64_t m_revision = 0;
    std::uint64_t m_stageRevision = 0;
    std::uint64_t m_prunedRevision = 0; ///< deltas from before it are not complete
};

/// @brief How long an entry stands as it is; see quarantine_timers.
[[nodiscard]] milliseconds timeoutOf(const quarantine_entry& entry);

/// @brief The leader's clock for the table: terms begin when it first sees an entry as it is.
/// @ingroup registry
class quarantine_timers {
public:
    /// @brief This controller begins to lead: all terms begin anew.
    void begin() { m_timers.clear(); }
    /// @return the terms that have ended, each once unless the entry stays as it is for another retry period
    [[nodiscard]] std::vector<quarantine_expiry> takeEnded(const quarantine_table& table, steady_time now);

private:
    struct timer {
        std::uint64_t revision = 0;
        steady_time deadline {};
    };
    std::map<request_fingerprint, timer> m_timers;
    std::optional<std::uint64_t> m_followedRevision;
};

/// @brief A gateway's copy of the standings.
/// @ingroup registry
class quarantine_view {
public:
    void apply(const quarantine_delta& delta);
    [[nodiscard]] quarantine_stage stageOf(const request_fingerprint& fingerprint) const;
    [[nodiscard]] bool isEmpty() const { return m_stages.empty(); }
    [[nodiscard]] std::size_t size() const { return m_stages.size(); }
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }

private:
    std::map<request_fingerprint, quarantine_stage> m_stages;
    std::uint64_t m_revision = 0;
};

} // namespace buckthornrail::registry
