/// @file
/// @brief One request at a gateway: implements the exchange's port on a connection to the target.
#pragma once

#include "app/shared/process.hpp"
#include "buckthornrail/core/memory_budget.hpp"
#include "buckthornrail/gateway/dialect.hpp"
#include "buckthornrail/gateway/priority_table.hpp"
#include "buckthornrail/http1/response_reader.hpp"
#include "buckthornrail/net/http_service.hpp"
#include "buckthornrail/net/reachability.hpp"

#include <map>
#include <set>

namespace buckthornrail::app {

/// State shared by the calls of a gateway. To be used only on the event loop's thread.
struct gateway_context {
    link::event_loop& loop;
    const gateway::traffic_dialect& dialect;
    telemetry::metrics& metrics;
    gateway::target_pool pool;
    gateway::shared_retry_budgets budgets;
    std::shared_ptr<const gateway::route_index> document; ///< the active one; empty: none yet
    std::size_t budgetSharers = 0; ///< gateways that share the budgets, as last reported; 0: not reported yet
    std::mt19937_64 random;
    std::vector<std::weak_ptr<class gateway_call>> waiting; ///< calls that wait for the controllers
    steady_time startupGraceUntil {}; ///< calls wait for the first document until then
    std::function<void()> checkForStall; ///< called before a call relies on state from controllers
    /// After the process has stalled, calls wait until then for a controller to confirm `document`.
    steady_time confirmationDeadline {};
    bool isStopping = false;
    steady_time stopDeadline {}; ///< while stopping: requests that can't finish by then are refused
    steady_time acceptStreamsUntil {}; ///< while stopping: a later stream may outlast the process
    std::set<class gateway_call*> openCalls;
    std::unique_ptr<net::reachability_prober> reachability;
    gateway::crash_watch crashes = gateway::crash_watch();
    gateway::quarantine_gate quarantine { random() };
    gateway::priority_table priorities; ///< of the active document
    gateway::admission_control admission { random() };
    std::map<gateway::call_number, class gateway_call*> queuedCalls; ///< in the admission's queue
    std::function<void()> capacityFreed; ///< capacity may have become free: an attempt ended, or new loads arrived
    std::function<void()> callQueued; ///< a call was added to the admission queue, or stays there
    std::function<void()>
        requestHeartbeat; ///< sends one within milliseconds, to report changes of the quarantine or unreachable targets
    gateway::call_number lastCallNumber = 0;
    http1::parser_limits responseLimits; ///< of targets' responses
    milliseconds maxPause { 30000 }; ///< without content in a target's response that has begun
    /// Shared with connections that may outlive the role.
    std::shared_ptr<memory_budget> openMessages = std::make_shared<memory_budget>(32U << 20U);
};

/// Maximum time for which a call waits for the controllers after the gateway has started or stalled. Controllers
/// that restart at the same time elect a leader within a second, and callers wait two seconds for the first event.
inline constexpr milliseconds controllerTimeout { 1400 };

/// Receives a call's response.
class response_sink {
public:
    response_sink() = default;
    response_sink(const response_sink&) = delete;
    response_sink& operator=(const response_sink&) = delete;
    virtual ~response_sink() = default;

    /// @return how the response is to be framed
    [[nodiscard]] virtual http1::response_terms terms() const = 0;
    /// @return when the connection was accepted
    [[nodiscard]] virtual steady_time openedAt() const = 0;
    /// @brief The head of a stream is about to be written.
    virtual void streamBegins() = 0;
    virtual void write(std::string_view bytes) = 0;
    /// @return bytes written that the connection hasn't sent yet
    [[nodiscard]] virtual std::size_t pendingBytes() const = 0;
    /// @brief Ends the response. @param aborted whether it is incomplete and must not pass for complete
    virtual void finished(bool aborted) = 0;
};

/// @brief Executes the requests of one exchange: connects to targets and passes their responses to the caller. To be
/// used only on the event loop's thread.
class gateway_call : public gateway::exchange_port, public std::enable_shared_from_this<gateway_call> {
public:
    /// @param context must outlive the call
    /// @param sink receives the response; must stay valid until it is finished or callerDisconnected() is called
    gateway_call(gateway_context& context, response_sink& sink, http1::request_head head, std::string body);
    ~gateway_call() override;

    /// @brief Routes the request, or lets it wait for the controllers. @param arrivedAt when its first byte arrived
    void start(steady_time arrivedAt);
    /// @brief The caller's connection has closed: nothing is written any more and the open attempt is cancelled.
    void callerDisconnected();
    /// @brief The caller's connection has sent everything written so far.
    void drained();

    gateway::dispatch_verdict requestDispatch(const gateway::selection& selected) override;
    [[nodiscard]] bool mustCancel() override;
    void openAttempt(
        std::uint32_t number, const gateway::selection& selected, std::optional<std::uint64_t> lastEventId) override;
    void cancelAttempt() override;
    void requestReport() override;
    void probeMembers(steady_time aliveSince) override;
    void forwardResponse() override;
    void beginStream() override;
    void forwardEvent(std::string_view bytes) override;
    void endStream() override;
    void abortStream() override;
    void sendError(result_code code, ran_state ran, const std::string& reason) override;
    void setTimer(steady_time when) override;
    [[nodiscard]] request_fingerprint fingerprint() override;
    void logEvent(event_code event, std::initializer_list<log_field> fields) override;

    /// @brief Continues a call that waits for the controllers; does nothing otherwise.
    void resume();
    /// @brief A target doesn't accept connections.
    void targetUnreachable(const registry::target_incarnation& target);
    /// @brief The table of targets has changed.
    void targetsChanged();
    /// @brief Capacity may have become free. @return whether the call is no longer in the admission queue
    bool retryAdmission();
    /// @brief Refuses a queued call.
    void refuseQueued(gateway::queue_exit how);
    /// @brief The document has changed: a queued call whose route, workspace or priority changed is routed again.
    void documentChanged();
    /// @brief The quarantine has changed, or a target that may have crashed was found alive.
    void quarantineChanged();
    [[nodiscard]] gateway::call_number number() const { return m_number; }
    /// @return the id that the caller gave the request
    [[nodiscard]] const std::string& requestId() const { return m_caller.requestId; }

private:
    /// @brief Finds the route and starts the exchange, or refuses the request.
    void route();
    /// @brief Sets what admission needs to know of the request, if its service is ranked.
    void addAdmission(gateway::exchange_request& request, const gateway::workspace_keys* workspace) const;
    /// @brief Adds the call to the queued ones, or removes it, as its exchange says. Measures the wait of one that has
    /// started.
    void updateQueued();
    /// @brief Counts the refusal if admission has refused the request.
    void countAdmissionRefusal();
    /// @brief Whether the request might not finish before this process exits.
    [[nodiscard]] bool outlastsShutdown(const gateway::route& route) const;
    /// @brief Logs the reason and responds with an error of the gateway.
    void refuse(result_code code, const std::string& reason);
    /// @return how long a refused caller should wait before a retry
    [[nodiscard]] milliseconds retryDelay(result_code code) const;
    /// @brief Clears the request of suspicion: a target that completes its response wasn't crashed by it.
    void recordCompleted();
    /// @brief Clears the parts of the prompt of suspicion once their target has survived the start of the response.
    void recordSurvival(bool isComplete);
    /// @return fingerprints of the shared parts of the prompt, in its order; empty before the request is routed
    const std::vector<request_fingerprint>& partFingerprints();
    [[nodiscard]] request_fingerprints fingerprints();
    /// @return the id of a part of the prompt; empty: the prompt doesn't have it
    std::string idOfPart(const request_fingerprint& part);
    /// @return for logs: what of the request is quarantined
    std::string namesOfBlamed();
    /// @brief Logs a change of the verdict.
    void logVerdict(gateway::dispatch_verdict verdict, const gateway::selection& selected);
    void onBytes(std::string_view bytes);
    void onEnded(net::connection_end end);
    /// @brief Passes what has arrived of the response on to the exchange.
    void advance();
    void passEventsOn();
    /// @brief States how much the call holds of the response. @return false: it was cut off
    bool updateHeldBytes();
    /// @brief All open messages together are too large, and this call's response is the largest.
    void onEvicted();
    /// @brief The response has exceeded a bound: logs and counts that, and ends the attempt.
    void failCutOff();
    /// @brief Content of the response has arrived, or its head.
    void recordProgress();
    void checkProgressAt(steady_time when);
    /// @brief The open attempt's response ended and isn't whole.
    void failAttempt(gateway::attempt_failure how);
    void finish(bool aborted);
    /// @brief Counts a response and its duration in the metrics. @param outcome label of the count
    void countResponse(const std::string& outcome);
    /// @return the head of the caller's stream, to be written before its first part; empty: it has been written
    std::string takeStreamHead();
    /// @return header fields for the caller: a target's without those of its connection and body length
    [[nodiscard]] std::vector<http1::field> responseFields(const http1::response_head& head) const;

    gateway_context& m_context;
    gateway::call_number m_number;
    response_sink* m_sink; ///< null once the caller has disconnected or has its response
    http1::request_head m_head;
    std::string m_body;
    gateway::caller_head m_caller;
    std::string m_workspace;
    bool m_isCounted = false; ///< counted for the retry budget, and as an arrival if its service was ranked
    std::optional<request_fingerprint> m_fingerprint; ///< empty: not computed yet
    std::vector<request_fingerprint> m_partFingerprints; ///< empty: not computed yet
    gateway::dispatch_verdict m_verdict = gateway::dispatch_verdict::Go; ///< as last logged
    std::unique_ptr<gateway::exchange> m_exchange;
    std::optional<steady_time> m_queuedAt; ///< empty: not in the admission queue
    steady_time m_arrivedAt {};

    gateway::selection m_selection;
    net::connection_pointer m_connection; ///< to the target
    std::uint32_t m_attempt = 0;
    std::optional<http1::response_reader> m_response; ///< of the open attempt
    bool m_isHeadReported = false;
    bool m_isStream = false;
    bool m_isConnected = false;
    std::shared_ptr<net::http_call> m_reportCall;
    http1::response_head m_streamHead; ///< of the caller's response
    http1::response_terms m_streamTerms; ///< those that the head was written with
    bool m_isStreamHeadPending = false; ///< written with the first event
    bool m_isWaiting = false; ///< for the controllers
    memory_lease m_held; ///< bytes of the open attempt's response
    steady_time m_progressAt {}; ///< when content of the response last arrived
    net::loop_timer m_timer;
    net::loop_timer m_connectTimer;
    net::loop_timer m_progressTimer;
};

} // namespace buckthornrail::app
