/// @file
/// @brief One caller's request from its head to its final answer: attempts, moves, refusals. Without I/O.
///
/// The owner feeds events in and carries out what the exchange asks of its port. There is one attempt at a time.
#pragma once

#include "buckthornrail/core/event_code.hpp"
#include "buckthornrail/core/log_field.hpp"
#include "buckthornrail/core/request_fingerprint.hpp"
#include "buckthornrail/gateway/quarantine_gate.hpp"
#include "buckthornrail/gateway/shared_retry_budget.hpp"
#include "buckthornrail/gateway/target_pool.hpp"

#include <functional>
#include <memory>

namespace buckthornrail::gateway {

/// What an exchange needs to know of a request.
struct exchange_request {
    std::string id; ///< the caller's
    std::string service;
    std::uint64_t documentVersion = 0; ///< that the route was chosen under
    route_pointer chosen;
    steady_time arrived {};
    steady_time deadline {}; ///< final answer by then: the caller's or the route's, whichever is sooner
    std::optional<std::uint64_t> lastEventId; ///< the caller has a stream's events up to it
    request_size size;

    [[nodiscard]] bool mayRepeat() const
    {
        return chosen->kind == request_kind::Safe || (chosen->kind == request_kind::Stream && chosen->resumable);
    }
    [[nodiscard]] bool isStream() const { return chosen->kind == request_kind::Stream; }
};

/// What a target's response says, decoded.
struct target_response {
    int status = 0;
    bool notRun = false; ///< the target states that it did not run the request
    bool isAuthentic = false; ///< echoes the request's id, bears the target's mark, and its body isn't re-coded
    bool isEventStream = false;
    std::string faultyAddress; ///< of the target that the failure is blamed on; empty: the answering one
    std::optional<target_pushback> pushback = {}; ///< nothing: the response isn't of the target that was asked
};

/// Why an attempt ended without an answer.
enum class attempt_failure : std::uint8_t {
    ConnectFailed, ///< no connection: nothing was written
    ConnectionLost, ///< the connection ended before the answer was whole
    InvalidResponse, ///< bytes that are no answer to this request
};

/// What an exchange asks of its surroundings.
class exchange_port {
public:
    exchange_port() = default;
    exchange_port(const exchange_port&) = delete;
    exchange_port& operator=(const exchange_port&) = delete;
    virtual ~exchange_port() = default;

    /// @brief Whether an attempt at a selection may begin, as far as targets have ended under the request. Anything but
    /// Go and Refuse is asked again; onQuarantineChanged() tells when.
    virtual dispatch_verdict requestDispatch(const selection& where) = 0;
    /// @brief Whether the open attempt, which hasn't begun to answer, must end for the same reason.
    [[nodiscard]] virtual bool mustCancel() = 0;
    /// @brief Sends the request to a selection. @param lastEventId a stream goes on after it
    virtual void openAttempt(std::uint32_t number, const selection& where, std::optional<std::uint64_t> lastEventId)
        = 0;
    /// @brief Ends the open attempt; nothing of it may come any more.
    virtual void cancelAttempt() = 0;
    /// @brief Asks the first target of the open attempt which member of the path holds it up; onReport() follows.
    virtual void requestReport() = 0;
    /// @brief Finds out whether the members of the open attempt's path can be reached; onUnreachable() follows for each
    /// that can't. @param aliveSince a member through which another request's event has come since then passes them
    virtual void probeMembers(steady_time aliveSince) = 0;
    /// @brief Gives the caller the target's whole response.
    virtual void forwardResponse() = 0;
    /// @brief Gives the caller the head of the target's stream.
    virtual void beginStream() = 0;
    virtual void forwardEvent(std::string_view bytes) = 0;
    virtual void endStream() = 0;
    /// @brief Ends a stream so that it can't pass for complete.
    virtual void abortStream() = 0;
    /// @brief Gives the caller an answer of the gateway's own.
    virtual void sendError(result_code code, ran_state ran, const std::string& reason) = 0;
    /// @brief Calls onTimer() at a time, instead of the one asked for before.
    virtual void setTimer(steady_time when) = 0;
    /// @brief Of the caller's request; worked out when it is first asked for.
    [[nodiscard]] virtual request_fingerprint fingerprint() = 0;
    virtual void logEvent(event_code event, std::initializer_list<log_field> fields) = 0;
};

struct exchange_options {
    /// A path without an event for so long is looked at: each member is dialled, which costs a connection and tells at
    /// once of a process that is gone. Events come every 30 to 60 ms, every 140 ms where prompts crowd.
    milliseconds checkAfter { 90 };
    double checkAfterGaps = 2; ///< the same, in gaps that are usual for the attempt; the longer of both counts
    milliseconds checkUnstartedAfter { 200 }; ///< the same before the first event: nearly all come within 100 ms
    /// Before its own first event, an attempt's member passes events if another one's came through it so lately.
    milliseconds heardLately { 80 };
    milliseconds checkAgainAfter { 100 }; ///< doubles with each look that finds nothing
    /// A stream that has been silent for so long leaves a member that can't be reached, whoever found out.
    milliseconds silentEnough { 40 };
    /// A path without an event for so long is asked which member holds it up. Events come every 30 ms on a calm day;
    /// asking is priced like a health check.
    milliseconds askAfter { 250 };
    milliseconds askAgainAfter { 200 }; ///< doubles with each answer that names nobody
    /// Events after which a path's pace is told to the pool.
    std::size_t paceEvents = 8;
    /// A first target that doesn't answer the question either is taken for dead.
    std::uint32_t unansweredAsks = 2;
    /// A stream without an event for so long is moved even when nobody is to blame: callers leave after 2 s.
    milliseconds moveAfter { 1300 };
    /// The same before the first event, when a prompt may wait its turn.
    milliseconds moveUnstartedAfter { 1500 };
    /// A safe request without an answer for this part of its latency target is tried elsewhere.
    double retryPart = 0.7;
    /// With less time left nothing new is begun: no target could finish.
    milliseconds shortestUseful { 20 };
    /// Attempts in all, also where targets ended or refused, which the route's number doesn't count.
    std::uint32_t mostTries = 6;
    std::uint32_t mostTriesOnceBegun = 20;
    /// A request under which targets have ended waits so long for its turn, unless it has begun; it looks again after
    /// each period.
    milliseconds heldPatience { 400 };
    milliseconds heldPeriod { 20 };
    /// A stream that has begun and finds no place, or no repeat in the budget, looks again after so long,
    milliseconds pauseBetweenTries { 150 };
    /// until its caller leaves, which callers do after 2 s without an event, or so long after the last one.
    milliseconds longestPause { 5000 };
};

/// @ingroup gateway
class exchange {
public:
    exchange(exchange_request request, exchange_port& port, target_pool& pool, shared_retry_budget& budget,
        const exchange_options& options = {});

    void start(steady_time now);
    /// @brief The connection stands and the request's bytes are on their way.
    void onSent(steady_time now);
    void onHead(const target_response& answer, steady_time now);
    /// @brief The open attempt's first target says how it wants to be treated, in an answer to this request or to a
    /// question. @param namesNone whether it names no limit by saying nothing of one
    /// @param sentAt when that request or question was sent
    void onPushback(const target_pushback& said, bool namesNone, steady_time sentAt, steady_time now);
    /// @brief The body of an answer that isn't a stream is whole.
    void onBody(steady_time now);
    void onEvent(std::string_view bytes, std::optional<std::uint64_t> id, steady_time now);
    /// @brief The target ended its stream in good order.
    void onStreamEnd(steady_time now);
    void onAttemptFailed(attempt_failure how, steady_time now);
    /// @param faultyAddress of the member that holds the request up; empty: none, or nobody answered
    void onReport(bool answered, const std::string& faultyAddress, steady_time now);
    /// @brief A target takes no connection. A silent stream over it moves at once.
    void onUnreachable(const registry::target_incarnation& target, steady_time now);
    /// @brief The table of targets has changed. A stream leaves a member that was ordered to hold other layers: what
    /// passed through it is cut. So does any request a target that has started anew: what ran there has ended.
    void onTargetsChanged(steady_time now);
    /// @brief What is held against requests has changed, or a target that may have ended was found alive.
    void onQuarantineChanged(steady_time now);
    void onTimer(steady_time now);
    void onCallerGone(steady_time now);

    [[nodiscard]] bool isOver() const { return m_over; }
    /// @brief Of a request that was refused since its targets take no more now: when one may again. Nothing: refused
    /// for another reason.
    [[nodiscard]] std::optional<steady_time> roomExpectedAt() const { return m_roomExpectedAt; }
    /// @brief Whether an event came through a target since a moment: proof that it was alive then.
    [[nodiscard]] bool hadEventThrough(const registry::target_incarnation& target, steady_time since) const;
    [[nodiscard]] const exchange_request& request() const { return m_request; }

private:
    /// How an attempt ended, for the decision what comes next.
    struct attempt_end {
        ran_state ran = ran_state::Unknown;
        bool targetEnded = false; ///< dead or cut off: doesn't count against the route's attempts
        std::string reason;
    };

    /// Where a request goes on, if anywhere.
    struct next_attempt {
        std::optional<selection> where; ///< nothing: `why` tells
        std::string why;
        std::set<registry::target_incarnation> ranAt;
        choice_bounds bounds;
    };

    /// @brief Finds a place for another attempt, and takes it out of the budget.
    next_attempt findNext(const attempt_end& last, choice_bounds bounds, steady_time now);
    /// @brief Goes on after an attempt that has ended, or gives up.
    void tryNext(const attempt_end& last, steady_time now);
    void goOn(const attempt_end& last, steady_time now);
    /// @brief Goes on elsewhere if it can; else the open attempt stays. @return true when it moved
    bool move(const attempt_end& last, choice_bounds bounds, steady_time now);
    /// @brief Logs that a stalled attempt stays, once for each cause.
    void noteKept(const attempt_end& last, const std::string& why);
    void noteLoss(const attempt_end& last, steady_time now);
    [[nodiscard]] std::string whyNoRepeat(const attempt_end& last, steady_time now);
    /// @brief Opens an attempt as soon as the request may run there.
    void begin(next_attempt next, steady_time now);
    /// @brief Asks once more whether the attempt that waits may begin.
    void askToBegin(steady_time now);
    /// @return what requestDispatch() says of the attempt that waits, at another target where that one is taken
    dispatch_verdict askPort(steady_time now);
    void open(const selection& where, steady_time now);
    void closeAttempt();
    void giveUp(const std::string& reason, steady_time now);
    void finish(result_code code, ran_state ran, const std::string& reason, steady_time now);
    void scheduleWake(steady_time now);
    void checkMembersWhenDue(steady_time now);
    /// @return from when on another request's event through a member of the open attempt shows that it passes them
    [[nodiscard]] steady_time silentSince(steady_time now) const;
    /// @brief Looks after a stream without events. @return true when it moved
    bool leaveSilentPath(steady_time now);
    /// @brief Asks the first target which member holds the request up, if it takes questions now.
    void askFirst(steady_time now);
    /// @brief Tries a safe request elsewhere when its answer is late. @return true when it moved
    bool leaveSlowTarget(steady_time now);
    /// @brief Whether the open attempt's first target has surely ended, so that it doesn't count against the route's
    /// number. One that is silent may only be out of this gateway's reach, and run the request on.
    [[nodiscard]] bool firstHasEnded() const;
    [[nodiscard]] bool isMember(const registry::target_incarnation& target) const;
    /// @brief Ends an attempt whose first target has started anew, and goes on as far as the request allows.
    void leaveEndedLife(steady_time now);
    void blameFirst(steady_time now);
    void blame(const registry::target_incarnation& target, bool dark, steady_time now);
    [[nodiscard]] bool hasPath() const { return !m_where.parts.empty() && !m_where.parts.front().layers.isEmpty(); }
    [[nodiscard]] std::string describe(const selection& where) const;

    exchange_request m_request;
    exchange_port& m_port;
    target_pool& m_pool;
    shared_retry_budget& m_budget;
    exchange_options m_options;
    selection m_where;
    choice_bounds m_bounds;
    std::set<registry::target_incarnation>
        m_ranAt; ///< targets that count against the route's number: each took the request and lives
    std::optional<std::uint64_t> m_lastEventId;
    std::optional<target_response> m_answer; ///< head of the open attempt
    bool m_attemptOpen = false;
    bool m_sent = false; ///< bytes of the open attempt may have reached its target
    bool m_promptRead = false; ///< the open attempt has had an event
    bool m_streamBegun = false; ///< the caller has a head
    bool m_mayHaveRun = false; ///< in any attempt
    bool m_hadOwnFailure = false; ///< a target answered that it failed
    bool m_over = false;
    std::optional<steady_time> m_roomExpectedAt;
    std::uint32_t m_tries = 0;
    std::optional<attempt_end> m_paused; ///< how the last attempt ended, while a begun stream waits for a place
    steady_time m_goOnAt {};
    std::optional<next_attempt> m_next; ///< found, and paid for from the budget; not allowed to begin yet
    steady_time m_heldUntil {}; ///< it is given up then
    std::uint32_t m_openAsks = 0;
    std::uint32_t m_vainAsks = 0; ///< answered, but nobody was named
    std::size_t m_pacedEvents = 0; ///< since the pace was told last
    steady_time m_pacedFrom {};
    std::size_t m_events = 0;
    steady_time m_attemptStart {};
    steady_time m_askAt {};
    steady_time m_checkAt {};
    std::uint32_t m_vainChecks = 0; ///< since the last event
    std::string m_keptFor; ///< cause that it was logged for last that the open attempt stays
    milliseconds m_usualGap { 0 }; ///< moving average of the open attempt's gaps
    steady_time m_moveAt {};
    steady_time m_lastEventAt {};
    milliseconds m_longestGap { 0 };
    milliseconds m_firstEvent { 0 };
};

} // namespace buckthornrail::gateway
