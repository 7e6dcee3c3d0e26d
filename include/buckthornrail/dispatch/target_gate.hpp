/// @file
/// @brief A sidecar's gate before its target: what was offered, started and finished, and who starts next.
///
/// The gate is the only way to the target. An attempt starts at most once; one that was refused or revoked never does.
#pragma once

#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/dispatch/messages.hpp"

#include <deque>
#include <map>
#include <set>
#include <utility>
#include <variant>

namespace buckthornrail::dispatch {

/// Number of an open link, given by the process that holds it.
using channel_number = std::uint64_t;

struct gate_options {
    incarnation_number incarnation = 0;
    std::size_t slots = 1; ///< requests that the target runs at once
    std::size_t queueLimit = 16; ///< accepted and not started
    milliseconds recordRetention { 600'000 }; ///< an ended attempt is remembered; longer than any request lasts
    milliseconds nonIdempotentRetention { 7'200'000 }; ///< the same; longer than the controllers keep a claim
};

/// Start the work of this attempt at the target.
struct gate_start {
    attempt_id attempt;
    channel_number channel = 0;
};
struct gate_accept {
    attempt_id attempt;
    channel_number channel = 0;
};
/// It was not started and never will be.
struct gate_refuse {
    attempt_id attempt;
    channel_number channel = 0;
    failure why;
};
/// Stop the work of this attempt at the target.
struct gate_cancel {
    attempt_id attempt;
};
using gate_effect = std::variant<gate_start, gate_accept, gate_refuse, gate_cancel>;

enum class gate_state : std::uint8_t { Queued, Started, Finished, Refused };

/// @ingroup dispatch
class target_gate {
public:
    target_gate(gate_options options, steady_time now);

    std::vector<gate_effect> offer(const attempt_offer& offer, channel_number channel, steady_time now);
    /// @return the outcome; NotStarted only when a tombstone stands.
    revoke_outcome revoke(const attempt_revoke& revoke, steady_time now, std::vector<gate_effect>& effects);
    /// @brief The target has ended the attempt, well or not.
    std::vector<gate_effect> finished(const attempt_id& attempt, steady_time now);
    /// @brief The target turned out never to have got the work (its connection was refused).
    std::vector<gate_effect> startFailed(const attempt_id& attempt, failure why, steady_time now);
    /// @brief A link closed: idempotent work that came over it is stopped, queued work is refused.
    std::vector<gate_effect> channelLost(channel_number channel, steady_time now);
    /// @brief Deadlines: late queued work is refused, late running work cancelled, old records dropped.
    std::vector<gate_effect> tick(steady_time now);

    /// @brief Attempts whose records were dropped since the last call.
    std::vector<attempt_id> takeExpired() { return std::exchange(m_expired, {}); }

    /// @brief A configuration is in force until the deadline. Lower versions are ignored.
    void renewConfiguration(configuration_version version, steady_time leaseDeadline);
    void setReady(bool ready) { m_ready = ready; }
    /// @brief No new work from now on; accepted work goes on.
    void setDraining(bool draining) { m_draining = draining; }

    [[nodiscard]] bool isDraining() const { return m_draining; }
    [[nodiscard]] std::size_t running() const { return m_started.size(); }
    [[nodiscard]] std::size_t queued() const { return m_queue.size(); }
    [[nodiscard]] std::optional<gate_state> stateOf(const attempt_id& attempt) const;
    /// @brief The channel that an attempt's answer goes to, or 0.
    [[nodiscard]] channel_number channelOf(const attempt_id& attempt) const;
    [[nodiscard]] const gate_options& options() const { return m_options; }
    [[nodiscard]] configuration_version configuration() const { return m_configuration; }

private:
    struct attempt_record {
        gate_state state = gate_state::Queued;
        channel_number channel = 0;
        bool nonIdempotent = false;
        bool cancelled = false;
        std::string workspace;
        std::uint32_t weight = 1;
        request_priority priority = request_priority::Normal;
        steady_time startDeadline {};
        steady_time finishDeadline {};
    };

    [[nodiscard]] std::optional<failure> refusalFor(const attempt_offer& offer, steady_time now) const;
    [[nodiscard]] double normalizedService(const attempt_record& record) const;
    [[nodiscard]] std::deque<attempt_id>::iterator nextToStart();
    [[nodiscard]] std::deque<attempt_id>::iterator findEvictionVictim(const attempt_record& newcomer);
    void startQueued(steady_time now, std::vector<gate_effect>& effects);
    void refuse(const attempt_id& attempt, failure why, steady_time now, std::vector<gate_effect>& effects);
    void removeFromQueue(const attempt_id& attempt);
    void setFinalState(const attempt_id& attempt, attempt_record& record, gate_state state, steady_time now);

    gate_options m_options;
    std::map<attempt_id, attempt_record> m_records;
    std::deque<attempt_id> m_queue; ///< in order of arrival
    std::set<attempt_id> m_started; ///< not yet ended
    std::deque<std::pair<steady_time, attempt_id>> m_ended; ///< with the time to forget them, in that order
    std::deque<std::pair<steady_time, attempt_id>> m_endedNonIdempotent;
    std::vector<attempt_id> m_expired;
    std::map<std::string, double> m_normalizedService; ///< starts of each workspace divided by its weight
    double m_minNormalizedService = 0; ///< a workspace that comes back starts from here: silence earns no credit
    configuration_version m_configuration = 0;
    steady_time m_leaseDeadline {};
    bool m_ready = false;
    bool m_draining = false;
};

} // namespace buckthornrail::dispatch
