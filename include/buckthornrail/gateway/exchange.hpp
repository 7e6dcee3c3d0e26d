/// @file
/// @brief State machine of one request of a caller, from its head to its final response. Does no I/O.
///
/// The owner passes events in and performs the actions that the exchange requests from its port. At most one attempt is
/// open at a time.
#pragma once

#include "buckthornrail/core/event_code.hpp"
#include "buckthornrail/core/log_field.hpp"
#include "buckthornrail/core/request_fingerprint.hpp"
#include "buckthornrail/gateway/admission_control.hpp"
#include "buckthornrail/gateway/quarantine_gate.hpp"
#include "buckthornrail/gateway/shared_retry_budget.hpp"
#include "buckthornrail/gateway/target_pool.hpp"
#include "buckthornrail/http1/response_reader.hpp"

#include <functional>
#include <memory>

namespace buckthornrail::gateway {

/// Properties of a request that decide how it is dispatched.
struct exchange_request {
    std::string id; ///< chosen by the caller
    std::string service;
    std::uint64_t documentVersion = 0; ///< version of the route document that the route was chosen from
    route_pointer route;
    steady_time arrivedAt {};
    steady_time deadline {}; ///< of the final response: the caller's or the route's, whichever is sooner
    std::optional<std::uint64_t> lastEventId; ///< last event of the stream that the caller has received
    request_size size;
    std::vector<std::string> sharedParts; ///< ids of the parts of its prompt that other requests may have too
    std::uint64_t call = 0; ///< number at this gateway, see admission_ticket::call
    std::size_t bytes = 0; ///< of the body
    std::optional<std::uint32_t> priority; ///< see priority_table; empty: the service isn't ranked
    milliseconds waitedBefore { 0 }; ///< from the caller's first request to this one; 0: not refused before
    bool isCounted = false; ///< routed before: not counted again for the retry budget and as an arrival

    [[nodiscard]] bool isRetryable() const
    {
        return route->kind == request_kind::Safe || (route->kind == request_kind::Stream && route->resumable);
    }
    [[nodiscard]] bool isStream() const { return route->kind == request_kind::Stream; }
};

/// Decoded head of a target's response.
struct target_response {
    int status = 0;
    bool notRun = false; ///< the target states that it did not execute the request
    bool isAuthentic = false; ///< echoes the request id, carries the target's marker header and an unencoded body
    bool isEventStream = false;
    std::string faultyAddress; ///< of the target that caused the failure; empty: the responding one
    std::optional<target_pushback> pushback = {}; ///< empty: the response is from another target
};

/// Why an attempt ended without a complete response.
enum class attempt_failure : std::uint8_t {
    ConnectFailed, ///< no bytes of the request were written
    ConnectionLost, ///< closed before the response was complete
    InvalidResponse, ///< bytes that are not a valid response to this request
};

/// Actions that an exchange requests from its owner.
class exchange_port {
public:
    exchange_port() = default;
    exchange_port(const exchange_port&) = delete;
    exchange_port& operator=(const exchange_port&) = delete;
    virtual ~exchange_port() = default;

    /// @brief Requests the quarantine's verdict on an attempt at a selection. After any verdict but Go and Refuse the
    /// exchange requests it again, on onQuarantineChanged() or after a poll interval.
    virtual dispatch_verdict requestDispatch(const selection& selected) = 0;
    /// @return whether the quarantine requires the open attempt, which has no response yet, to be cancelled
    [[nodiscard]] virtual bool mustCancel() = 0;
    /// @brief Sends the request to a selection. @param lastEventId a stream resumes after this event
    virtual void openAttempt(std::uint32_t number, const selection& selected, std::optional<std::uint64_t> lastEventId)
        = 0;
    /// @brief Cancels the open attempt. No event of it may be delivered afterwards.
    virtual void cancelAttempt() = 0;
    /// @brief Requests a report from the first target of the open attempt: which member of the path stalls the attempt.
    /// onReport() follows.
    virtual void requestReport() = 0;
    /// @brief Probes the members of the open attempt's path; onUnreachable() follows for each one that refuses
    /// connections. @param aliveSince a member that has delivered an event of another request since then is skipped
    virtual void probeMembers(steady_time aliveSince) = 0;
    /// @brief Forwards the target's complete response to the caller.
    virtual void forwardResponse() = 0;
    /// @brief Forwards the head of the target's stream to the caller.
    virtual void beginStream() = 0;
    virtual void forwardEvent(std::string_view bytes) = 0;
    virtual void endStream() = 0;
    /// @brief Ends the caller's stream so that it is recognisably incomplete.
    virtual void abortStream() = 0;
    /// @brief Sends the caller an error response of the gateway. @param ran whether the request may have been executed
    virtual void sendError(result_code code, ran_state ran, const std::string& reason) = 0;
    /// @brief Schedules onTimer(); replaces the time set before.
    virtual void setTimer(steady_time when) = 0;
    /// @brief Fingerprint of the caller's request, computed on the first call.
    [[nodiscard]] virtual request_fingerprint fingerprint() = 0;
    virtual void logEvent(event_code event, std::initializer_list<log_field> fields) = 0;
};

struct exchange_options {
    /// The members of a path are probed when no event has arrived for this long. A probe costs one connection per
    /// member and detects a dead process at once. Events usually arrive every 30 to 60 ms, every 140 ms while many
    /// prompts are processed.
    milliseconds probeAfter { 90 };
    double probeAfterGaps = 2; ///< the same in average event gaps of the attempt; the longer of both applies
    milliseconds firstEventProbeAfter { 200 }; ///< the same before the first event, which nearly always takes < 100 ms
    /// Before an attempt's own first event, a member counts as alive if it delivered another request's event this
    /// recently.
    milliseconds recentEventAge { 80 };
    milliseconds probeAgainAfter { 100 }; ///< doubles with each probe without a result
    /// A stream silent for this long leaves an unreachable member, whichever request's probe detected it.
    milliseconds minSilence { 40 };
    /// The first target is sent a report request when no event has arrived for this long. Events arrive every 30 ms
    /// under low load; a report costs as much as a health check.
    milliseconds reportAfter { 250 };
    milliseconds reportAgainAfter { 200 }; ///< doubles with each report that names no member
    /// Events over which the event gap of a path is averaged for the pool.
    std::size_t latencySampleEvents = 8;
    /// After this many report requests without a response the first target counts as unreachable.
    std::uint32_t maxReportsWithoutResponse = 2;
    /// A stream without an event for this long moves even if no member is known to be faulty: callers disconnect after
    /// 2 s.
    milliseconds moveAfter { 1300 };
    /// The same before the first event, while the prompt may be queued.
    milliseconds firstEventMoveAfter { 1500 };
    /// A safe request without a response is retried elsewhere after this fraction of its latency target.
    double retryLatencyRatio = 0.7;
    /// With less time left no attempt is started, as no target could finish it.
    milliseconds minTimeLeft { 20 };
    /// All attempts of a request, including those at targets that ended or refused, which the route's
    /// maxAttempts ignores.
    std::uint32_t maxTotalAttempts = 6;
    std::uint32_t maxTotalAttemptsOnceStarted = 20; ///< the same for a stream that has started
    /// A suspect request that has not started waits at most this long for a verdict that lets it start.
    milliseconds maxDispatchWait { 400 };
    milliseconds dispatchPollInterval { 20 }; ///< between requests for that verdict
    /// A started stream that finds no target, or no retry in the budget, is retried at this interval.
    milliseconds streamRetryInterval { 150 };
    /// These retries end when the caller disconnects, usually after 2 s without an event, or this long after the last
    /// event.
    milliseconds maxStreamPause { 5000 };
    /// A request without a response that has reached its route's limit of targets waits at most this long for one of
    /// them. Controllers confirm the end of a target within a second.
    milliseconds maxLimitWait { 1500 };
};

/// How a request leaves the admission queue.
enum class queue_exit : std::uint8_t {
    Started,
    Expired, ///< it could not start in time
    Displaced, ///< from a full queue, by a request of a higher priority
    ShuttingDown, ///< of the gateway
    CallerLeft,
    DeadlinePassed, ///< of its caller, while the process was suspended
    RoutedAgain, ///< under a changed document
};

inline constexpr std::array queueExitNames {
    enum_name<queue_exit> { queue_exit::Started, "started" },
    enum_name<queue_exit> { queue_exit::Expired, "expired" },
    enum_name<queue_exit> { queue_exit::Displaced, "displaced" },
    enum_name<queue_exit> { queue_exit::ShuttingDown, "shutting_down" },
    enum_name<queue_exit> { queue_exit::CallerLeft, "caller_left" },
    enum_name<queue_exit> { queue_exit::DeadlinePassed, "deadline_passed" },
    enum_name<queue_exit> { queue_exit::RoutedAgain, "routed_again" },
};

/// @brief Dispatches one request, retries it and finishes it with exactly one final response.
/// @ingroup gateway
class exchange {
public:
    exchange(exchange_request request, exchange_port& port, target_pool& pool, shared_retry_budget& budget,
        const exchange_options& options = {});

    /// @brief Subjects the request to admission by priority. To be called before start().
    /// @param control must outlive the exchange
    void useAdmission(admission_control& control);
    void start(steady_time now);
    /// @brief Capacity may have become free: decides about a queued request again. @return whether it is queued no more
    bool retryAdmission(steady_time now);
    /// @brief Refuses a request that is still queued because it was displaced, or because the gateway shuts down.
    void refuseQueued(queue_exit how, steady_time now);
    /// @brief Takes a queued request out of the queue without a response, so that it can be routed again.
    void withdraw(steady_time now) { leaveQueue(queue_exit::RoutedAgain, now); }
    /// @brief Whether the request waits in the admission queue. Nothing of it was sent then.
    [[nodiscard]] bool isQueued() const { return m_isQueued; }
    /// @brief The connection is established and the request is being written.
    void onSent(steady_time now);
    /// @brief The head of the response has arrived.
    void onHead(const target_response& response, steady_time now);
    /// @brief The open attempt's first target sent pushback, in the response to this request or to a report request.
    /// @param absenceMeansNone whether the absence of a limit means that there is none
    /// @param sentAt when that request was sent
    void onPushback(const target_pushback& pushback, bool absenceMeansNone, steady_time sentAt, steady_time now);
    /// @brief The body of a response that is not a stream is complete. @param end how it ended
    void onBody(http1::message_end end, steady_time now);
    /// @brief An event of the stream has arrived. @param id of the event; empty: it has none
    void onEvent(std::string_view bytes, std::optional<std::uint64_t> id, steady_time now);
    /// @brief Bytes of the stream have arrived that bring it no further, such as comments. They keep no silent stream
    /// alive, and begin none: before the first event they are held back.
    void onPadding(std::string_view bytes);
    /// @brief The target ended its stream regularly. @param end how it ended
    void onStreamEnd(http1::message_end end, steady_time now);
    /// @brief The open attempt ended without a complete response.
    /// @param end how what the target has sent ended, for the log
    void onAttemptFailed(attempt_failure how, http1::message_end end, steady_time now);
    /// @brief The report request of the open attempt has finished.
    /// @param responded whether the first target responded to the report request
    /// @param faultyAddress of the member that stalls the request; empty: none, or no response
    void onReport(bool responded, const std::string& faultyAddress, steady_time now);
    /// @brief A target refuses connections. A silent stream over it moves at once.
    void onUnreachable(const registry::target_incarnation& target, steady_time now);
    /// @brief The target table has changed. A stream leaves a member that was assigned other layers, which interrupts
    /// it. Any request leaves a target that has restarted, as its execution there has ended.
    void onTargetsChanged(steady_time now);
    /// @brief The quarantine table has changed, or a target that may have crashed was found alive.
    void onQuarantineChanged(steady_time now);
    void onTimer(steady_time now);
    /// @brief The caller has disconnected.
    void onCallerDisconnected(steady_time now);

    [[nodiscard]] bool isOver() const { return m_over; }
    /// @return for a request refused because limits or backoffs block all targets, when one may be sent a request
    /// again; empty: refused for another reason
    [[nodiscard]] std::optional<steady_time> earliestSendAt() const { return m_earliestSendAt; }
    /// @return for a request that admission refused, when its caller is to return
    [[nodiscard]] std::optional<steady_time> returnAt() const { return m_returnAt; }
    /// @return whether admission refused the request and no return before its deadline is of use
    [[nodiscard]] bool hasNoReturnTime() const { return m_hasNoReturnTime; }
    /// @return whether an event has arrived through a target since a time, which proves that it was alive then
    [[nodiscard]] bool hadEventThrough(const registry::target_incarnation& target, steady_time since) const;
    [[nodiscard]] const exchange_request& request() const { return m_request; }

private:
    /// Outcome of an attempt, the input of the retry decision.
    struct attempt_end {
        attempt_outcome outcome = attempt_outcome::ConnectionLost;
        std::string reason;
        [[nodiscard]] ran_state ran() const { return ranStateOf(outcome); }
    };

    /// Where to retry a request, if anywhere.
    struct next_attempt {
        std::optional<selection> selected; ///< empty: see `why`
        std::string why;
        selection_constraints constraints;
        bool isHeldByLimit = false; ///< only targets that may have run it may be used, and none of them can be now
    };

    /// @brief Selects a path for another attempt and takes it out of the retry budget.
    next_attempt planNextAttempt(const attempt_end& last, selection_constraints constraints, steady_time now);
    /// @brief Records and logs that an attempt has ended, then calls retryOrWait().
    void retry(const attempt_end& last, steady_time now);
    /// @brief Retries after an attempt that has ended, waits if a stream has started, or gives up.
    void retryOrWait(const attempt_end& last, steady_time now);
    /// @return whether a request without a next attempt may wait for one
    bool mayWaitUntil(steady_time retryAt, const next_attempt& next, steady_time now);
    /// @brief Retries elsewhere if possible; otherwise keeps the open attempt. @return true when it moved
    bool moveAttempt(const attempt_end& last, selection_constraints constraints, steady_time now);
    /// @brief Logs that a stalled attempt is kept, once per cause.
    void logAttemptKept(const attempt_end& last, const std::string& why);
    /// @brief Records and logs that an attempt has ended without a complete response.
    void recordAttemptLost(const attempt_end& last, steady_time now);
    /// @return why the request can't be retried; empty: it can
    [[nodiscard]] std::string whyNotRetryable(const attempt_end& last, steady_time now);
    /// @brief Starts an attempt as soon as the quarantine permits it.
    void scheduleAttempt(next_attempt next, steady_time now);
    /// @brief Requests the verdict on the pending attempt, and starts it, gives up or continues to wait.
    void tryStartAttempt(steady_time now);
    /// @return the targets that count against the route's limit now
    [[nodiscard]] std::set<registry::target_incarnation> countedTargets(const attempt_history& history) const;
    /// @return the targets at which the next attempt may start; empty: any, as the route's limit isn't reached
    [[nodiscard]] std::set<registry::target_incarnation> allowedFirst(const attempt_history& history) const;
    /// @return verdict on the pending attempt, at another target if its own is taken or may no longer be used
    dispatch_verdict requestDispatch(steady_time now);
    void startAttempt(const selection& selected, steady_time now);
    void closeAttempt(steady_time now);
    /// @brief Starts the first attempt, queues the request or refuses it.
    void requestAdmission(steady_time now);
    void applyAdmission(const admission_decision& decision, const std::optional<selection>& selected, steady_time now);
    /// @brief Refuses the request with a time to return.
    void refuseAdmission(const std::string& reason, steady_time now);
    /// @brief Removes the request from the queue. @return whether it was queued
    bool leaveQueue(queue_exit how, steady_time now);
    void logQueue(event_code event, const std::string& outcome, steady_time now);
    /// @brief Adds the open attempt's tokens to the running ones of its priority, or subtracts them.
    void countRunning(bool isRunning, steady_time now);
    void giveUp(const std::string& reason, steady_time now);
    void finish(result_code code, ran_state ran, const std::string& reason, steady_time now);
    void scheduleTimer(steady_time now);
    void probeMembersWhenDue(steady_time now);
    /// @return time since which another request's event through a member proves that the member isn't stalled
    [[nodiscard]] steady_time eventCutoff(steady_time now) const;
    /// @brief Probes and moves a stream without events when due. @return true when it moved
    bool abandonSilentPath(steady_time now);
    /// @brief Sends a report request to the first target, unless sends to it are throttled.
    void requestReport(steady_time now);
    /// @brief Retries a safe request elsewhere when its response is late. @return true when it moved
    bool abandonSlowTarget(steady_time now);
    [[nodiscard]] bool isMember(const registry::target_incarnation& target) const;
    /// @brief Ends an attempt whose first target has restarted, and retries it if the request allows that.
    void abandonRestartedTarget(steady_time now);
    /// @brief Excludes the first target of the open attempt from later attempts.
    void avoidFirst(steady_time now);
    /// @brief Excludes a target from later attempts. @param isUnreachable refuses connections or is silent
    void avoid(const registry::target_incarnation& target, bool isUnreachable, steady_time now);
    [[nodiscard]] bool hasPath() const
    {
        return !m_selection.parts.empty() && !m_selection.parts.front().layers.isEmpty();
    }
    [[nodiscard]] std::string describe(const selection& selected) const;
    /// @return for logs: the targets that may have executed the request, and what is known of each
    [[nodiscard]] std::string describeHistory() const;

    exchange_request m_request;
    exchange_port& m_port;
    target_pool& m_pool;
    shared_retry_budget& m_budget;
    exchange_options m_options;
    selection m_selection;
    selection_constraints m_constraints;
    attempt_history m_history;
    std::optional<std::uint64_t> m_lastEventId;
    std::optional<target_response> m_response; ///< response head of the open attempt
    bool m_attemptOpen = false;
    bool m_sent = false; ///< bytes of the open attempt may have reached the target
    bool m_hasFirstEvent = false; ///< of the open attempt
    std::string m_padding; ///< of the open attempt, received before the caller's first event
    bool m_streamStarted = false; ///< the caller has received the head
    bool m_mayHaveRun = false; ///< in any attempt
    bool m_hadServerError = false; ///< a target responded with a server error
    bool m_over = false;
    std::optional<steady_time> m_earliestSendAt;
    admission_control* m_admission = nullptr; ///< null: the service isn't ranked
    admission_ticket m_ticket;
    bool m_isQueued = false;
    bool m_isRunning = false; ///< counted as running by the admission
    std::optional<steady_time> m_returnAt;
    bool m_hasNoReturnTime = false;
    std::uint32_t m_attempts = 0;
    std::optional<attempt_end> m_pendingRetry; ///< outcome of the last attempt, while the request waits for a target
    std::optional<steady_time> m_limitWaitDeadline; ///< set when the request begins to wait at its route's limit
    steady_time m_retryAt {};
    std::optional<next_attempt> m_pendingAttempt; ///< selected and taken from the budget, but waiting for a verdict
    steady_time m_dispatchDeadline {}; ///< of the pending attempt
    std::uint32_t m_reportsWithoutResponse = 0;
    std::uint32_t m_emptyReports = 0; ///< reports that named no member
    std::size_t m_sampleEvents = 0; ///< since the last latency sample
    steady_time m_sampleStart {};
    std::size_t m_events = 0;
    steady_time m_attemptStart {};
    steady_time m_reportAt {};
    steady_time m_probeAt {};
    std::uint32_t m_emptyProbes = 0; ///< since the last event
    std::string m_loggedCause; ///< last cause logged for keeping the open attempt
    milliseconds m_averageGap { 0 }; ///< moving average over the open attempt
    steady_time m_moveAt {};
    steady_time m_lastEventAt {};
    milliseconds m_longestGap { 0 };
    milliseconds m_timeToFirstEvent { 0 };
};

} // namespace buckthornrail::gateway
