/// @file
/// @brief One request at a gateway: the exchange's port, with the connection to the target.
#pragma once

#include "app/shared/process.hpp"
#include "buckthornrail/gateway/dialect.hpp"
#include "buckthornrail/http1/event_stream.hpp"
#include "buckthornrail/http1/message_parser.hpp"
#include "buckthornrail/net/http_service.hpp"
#include "buckthornrail/net/reachability.hpp"

#include <map>
#include <set>

namespace buckthornrail::app {

/// What the calls of a gateway share. Lives on the loop thread.
struct gateway_context {
    link::event_loop& loop;
    const gateway::traffic_dialect& dialect;
    telemetry::metrics& metrics;
    gateway::target_pool pool;
    gateway::repeat_budgets budgets;
    std::shared_ptr<const gateway::route_index> document; ///< empty: none yet
    std::size_t budgetSharers = 0; ///< gateways that share the budgets, as told last; 0: never
    std::mt19937_64 random;
    std::vector<std::weak_ptr<class gateway_call>> waiting; ///< calls that came before the first document
    steady_time startupGraceUntil {}; ///< until then calls wait for the first document
    std::function<void()> checkForStall; ///< before a call rests on what controllers told
    /// Until then calls wait for the controllers' word, after the process has stood still; see document.
    steady_time confirmationDeadline {};
    bool isStopping = false;
    steady_time stopDeadline {}; ///< while stopping: what can't end by then is refused
    steady_time acceptStreamsUntil {}; ///< while stopping: a stream that comes later may outlast the process
    std::set<class gateway_call*> openCalls;
    std::unique_ptr<net::reachability_checks> reachability;
    gateway::crash_watch crashes = gateway::crash_watch();
    gateway::quarantine_gate quarantine { random() };
    std::function<void()> requestHeartbeat; ///< of the quarantine, soon
    gateway::call_number lastCallNumber = 0;
};

/// A call to a gateway that has just started, or has stood still, waits so long for the controllers' word: controllers
/// that restart at the same moment elect a leader within a second, and callers wait two seconds for a first event.
inline constexpr milliseconds controllerTimeout { 1400 };

/// Where a call's answer goes.
class response_sink {
public:
    response_sink() = default;
    response_sink(const response_sink&) = delete;
    response_sink& operator=(const response_sink&) = delete;
    virtual ~response_sink() = default;

    /// @brief Whether the connection stays open after this answer.
    [[nodiscard]] virtual bool keepsAlive() const = 0;
    [[nodiscard]] virtual steady_time openedAt() const = 0;
    virtual void write(std::string_view bytes) = 0;
    [[nodiscard]] virtual std::size_t pendingBytes() const = 0;
    /// @brief The answer is whole. @param aborted true: it isn't, and must not look so
    virtual void finished(bool aborted) = 0;
};

/// @brief Lives on the loop thread.
class gateway_call : public gateway::exchange_port, public std::enable_shared_from_this<gateway_call> {
public:
    gateway_call(gateway_context& context, response_sink& sink, http1::request_head head, std::string body);
    ~gateway_call() override;

    void start(steady_time arrived);
    void callerGone();
    /// @brief Everything written so far has been taken by the caller's connection.
    void drained();

    gateway::dispatch_verdict mayBegin(const gateway::selection& where) override;
    [[nodiscard]] bool mustLeave() override;
    void openAttempt(
        std::uint32_t number, const gateway::selection& where, std::optional<std::uint64_t> lastEventId) override;
    void cancelAttempt() override;
    void askForReport() override;
    void checkMembers(steady_time passedSince) override;
    void passOn() override;
    void beginStream() override;
    void passEvent(std::string_view bytes) override;
    void endStream() override;
    void breakOff() override;
    void answer(result_code code, ran_state ran, const std::string& reason) override;
    void wakeAt(steady_time when) override;
    [[nodiscard]] request_fingerprint fingerprint() override;
    void note(event_code event, std::initializer_list<log_field> fields) override;

    /// @brief The first document has come.
    void resume();
    /// @brief A target takes no connection.
    void targetUnreachable(const registry::target_incarnation& target);
    void targetsChanged();
    /// @brief What is held against requests has changed, or a target that may have ended was found alive.
    void quarantineChanged();
    [[nodiscard]] gateway::call_number number() const { return m_number; }

private:
    void route();
    /// @brief Whether the request can't end before this process does.
    [[nodiscard]] bool outlastsShutdown(const gateway::route& route) const;
    void refuse(result_code code, const std::string& reason);
    /// @brief When a refused caller should come back.
    [[nodiscard]] milliseconds retryDelay(result_code code) const;
    /// @brief The target has given its whole answer: the request doesn't end those who run it.
    void recordAnswered();
    /// @brief Writes a line on a change of the verdict.
    void logVerdict(gateway::dispatch_verdict verdict, const gateway::selection& where);
    void onBytes(std::string_view bytes);
    void onEnded(net::channel_end how);
    void advance();
    void readStream();
    void finish(bool aborted);
    void countAnswer(const std::string& outcome);
    [[nodiscard]] std::vector<http1::field> answerFields(const http1::response_head& head) const;

    gateway_context& m_context;
    gateway::call_number m_number;
    response_sink* m_sink; ///< empty once the caller is gone or has its answer
    http1::request_head m_head;
    std::string m_body;
    gateway::caller_head m_caller;
    std::string m_workspace;
    std::optional<request_fingerprint> m_fingerprint; ///< empty: nobody has asked
    gateway::dispatch_verdict m_verdict = gateway::dispatch_verdict::Go; ///< as logged last
    std::unique_ptr<gateway::exchange> m_exchange;
    steady_time m_arrived {};

    gateway::selection m_selection;
    net::channel_pointer m_channel; ///< to the target
    std::uint32_t m_attempt = 0;
    std::unique_ptr<http1::response_parser> m_parser;
    http1::event_stream_reader m_eventReader;
    bool m_isHeadReported = false;
    bool m_isStream = false;
    bool m_isConnected = false;
    std::shared_ptr<net::http_call> m_reportCall;
    http1::response_head m_streamHead; ///< not written yet
    bool m_isStreamHeadPending = false;
    bool m_isWaiting = false;
    net::loop_timer m_timer;
    net::loop_timer m_connectTimer;
};

} // namespace buckthornrail::app
