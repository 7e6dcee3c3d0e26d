/// @file
/// @brief Admission control of a sidecar: queues offered attempts and decides which of them starts next at the target.
///
/// All work for the target goes through the gate. An attempt starts at most once, and never after it was refused or
/// revoked.
#pragma once

#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/dispatch/messages.hpp"

#include <deque>
#include <map>
#include <set>
#include <utility>
#include <variant>

namespace buckthornrail::dispatch {

/// Number of an open link, assigned by the process that owns it. 0: none.
using link_number = std::uint64_t;

struct gate_options {
    incarnation_number incarnation = 0;
    std::size_t slots = 1; ///< requests that the target runs concurrently
    std::size_t queueLimit = 16; ///< maximum number of attempts that are accepted and not started
    milliseconds recordRetention { 600'000 }; ///< of ended attempts; longer than any request lasts
    milliseconds nonIdempotentRetention { 7'200'000 }; ///< of ended attempts; longer than a claim is retained
};

/// Start this attempt at the target.
struct gate_start {
    attempt_id attempt;
    link_number linkNumber = 0;
};
/// The attempt is queued.
struct gate_accept {
    attempt_id attempt;
    link_number linkNumber = 0;
};
/// The attempt was not started and never will be.
struct gate_refuse {
    attempt_id attempt;
    link_number linkNumber = 0;
    failure why;
};
/// Cancel this attempt at the target.
struct gate_cancel {
    attempt_id attempt;
};
using gate_effect = std::variant<gate_start, gate_accept, gate_refuse, gate_cancel>;

enum class gate_state : std::uint8_t { Queued, Started, Finished, Refused };

/// @brief State machine. Each event returns the effects that the owner must apply.
/// @ingroup dispatch
class target_gate {
public:
    target_gate(gate_options options, steady_time now);

    /// @brief Queues or refuses an offered attempt. A duplicate offer has no effect, except that a refusal is
    /// sent again.
    std::vector<gate_effect> offer(const attempt_offer& offer, link_number linkNumber, steady_time now);
    /// @brief Prevents the start of an attempt, also of one that has not been offered yet.
    /// @param effects receives the cancellation of an attempt that has started, if the revocation requests that
    /// @return NotStarted only if a tombstone prevents a later start
    revoke_outcome revoke(const attempt_revoke& revoke, steady_time now, std::vector<gate_effect>& effects);
    /// @brief The target has ended the attempt, successfully or not.
    std::vector<gate_effect> finished(const attempt_id& attempt, steady_time now);
    /// @brief The work of a started attempt was not begun after all, for example because the target refused the
    /// connection.
    std::vector<gate_effect> notStarted(const attempt_id& attempt, failure why, steady_time now);
    /// @brief A link has closed. Refuses its queued attempts and cancels its running ones, except non-idempotent ones.
    std::vector<gate_effect> linkLost(link_number linkNumber, steady_time now);
    /// @brief Refuses queued attempts past their start deadline, cancels running ones past their finish deadline and
    /// drops expired records.
    std::vector<gate_effect> tick(steady_time now);

    /// @return attempts whose records have expired since the last call
    std::vector<attempt_id> takeExpired() { return std::exchange(m_expired, {}); }

    /// @brief Extends the lease of a configuration. Lower versions than the current one are ignored.
    /// @param leaseDeadline no offer is accepted after it
    void renewConfiguration(configuration_version version, steady_time leaseDeadline);
    /// @param ready whether the target can take work; queued attempts start regardless
    void setReady(bool ready) { m_ready = ready; }
    /// @param draining refuses new offers; accepted attempts still run
    void setDraining(bool draining) { m_draining = draining; }

    [[nodiscard]] bool isDraining() const { return m_draining; }
    [[nodiscard]] std::size_t running() const { return m_started.size(); }
    [[nodiscard]] std::size_t queued() const { return m_queue.size(); }
    [[nodiscard]] std::optional<gate_state> stateOf(const attempt_id& attempt) const;
    /// @return link that an attempt was offered over, or 0
    [[nodiscard]] link_number linkNumberOf(const attempt_id& attempt) const;
    [[nodiscard]] const gate_options& options() const { return m_options; }
    [[nodiscard]] configuration_version configuration() const { return m_configuration; }

private:
    struct attempt_record {
        gate_state state = gate_state::Queued;
        link_number linkNumber = 0;
        bool nonIdempotent = false;
        bool cancelled = false;
        std::string workspace;
        std::uint32_t weight = 1;
        request_priority priority = request_priority::Normal;
        steady_time startDeadline {};
        steady_time finishDeadline {};
    };

    /// @return why an offer must be refused, apart from a full queue
    [[nodiscard]] std::optional<failure> refusalFor(const attempt_offer& offer, steady_time now) const;
    /// @return starts of the record's workspace divided by its weight, at least the lower bound
    [[nodiscard]] double normalizedService(const attempt_record& record) const;
    /// @return queued attempt of the highest priority whose workspace has the lowest normalized service; the first to
    /// arrive among equals
    [[nodiscard]] std::deque<attempt_id>::iterator nextToStart();
    /// @return queued attempt to evict in favour of a new one, or the end: one of lower priority, or of the same
    /// priority and a workspace with more queued work relative to its weight
    [[nodiscard]] std::deque<attempt_id>::iterator findEvictionVictim(const attempt_record& newRecord);
    /// @brief Starts queued attempts while slots are free.
    void startQueued(steady_time now, std::vector<gate_effect>& effects);
    void refuse(const attempt_id& attempt, failure why, steady_time now, std::vector<gate_effect>& effects);
    void removeFromQueue(const attempt_id& attempt);
    /// @brief Sets the state of an ended or refused attempt and schedules the expiry of its record.
    void setFinalState(const attempt_id& attempt, attempt_record& record, gate_state state, steady_time now);

    gate_options m_options;
    std::map<attempt_id, attempt_record> m_records;
    std::deque<attempt_id> m_queue; ///< in order of arrival
    std::set<attempt_id> m_started; ///< not yet ended
    std::deque<std::pair<steady_time, attempt_id>> m_ended; ///< with the expiry time of their records, in that order
    std::deque<std::pair<steady_time, attempt_id>> m_endedNonIdempotent;
    std::vector<attempt_id> m_expired;
    std::map<std::string, double> m_normalizedService; ///< by workspace: starts divided by its weight
    double m_minNormalizedService = 0; ///< lower bound for all: an idle workspace accrues no credit
    configuration_version m_configuration = 0;
    steady_time m_leaseDeadline {};
    bool m_ready = false;
    bool m_draining = false;
};

} // namespace buckthornrail::dispatch
