/// @file
/// @brief The gateway role: accepts requests from callers and forwards them directly to targets, without sidecars.
#pragma once

#include "app/gateway/gateway_call.hpp"
#include "app/gateway/gateway_session.hpp"
#include "buckthornrail/core/stall_watch.hpp"

#include <set>

namespace buckthornrail::app {

class caller_connection;
struct admission_overview;

/// @brief Owns the listeners, the target pool and the controller session of a gateway. Not thread-safe: to be used
/// only on the event loop's thread.
class gateway_role {
public:
    /// @param settings must outlive the role, as must all other parameters
    gateway_role(link::event_loop& loop, const settings::settings& settings, const gateway::traffic_dialect& traffic,
        const gateway::control_dialect& control, telemetry::metrics& metrics);
    gateway_role(const gateway_role&) = delete;
    gateway_role& operator=(const gateway_role&) = delete;
    ~gateway_role();

    /// @brief Opens the listeners. @return BadSettings if an address can't be listened on
    tl::expected<void, failure> start();
    /// @brief Shuts down gracefully: reports not ready at once and lets requests in flight finish.
    /// @param done called once the load balancer has drained and no call is open, or at the end of the grace period
    void stop(std::function<void()> done);
    /// @brief Applies the settings that may change at run time: the addresses of the controllers and the mode of
    /// admission.
    void reload(const settings::settings& changed);

    [[nodiscard]] gateway_context& context() { return m_context; }
    [[nodiscard]] link::event_loop& loop() { return m_loop; }
    /// @return the limits of the active document; defaults before the first one
    [[nodiscard]] gateway::caller_limits limits() const;
    /// @return whether connections are to be closed after their responses, as there are many
    [[nodiscard]] bool isCrowded() const;
    /// @brief Removes a caller's connection that has closed.
    void removeConnection(const std::shared_ptr<caller_connection>& connection) { m_connections.erase(connection); }

private:
    /// @brief Accepts a caller's connection.
    void onConnection(net::connection_pointer connection);
    /// @brief Closes a caller's connection before anything of it is read, so that the caller can use another gateway.
    void closeUnread(const net::connection_pointer& connection);
    /// @return most connections of callers for which there are file descriptors
    [[nodiscard]] static std::size_t maxConnections();
    /// @brief Applies what the leader reports about the other gateways.
    void onSessionUpdate(const link::gateway_update& update);
    /// @brief Applies rate limits that targets have reported to other gateways.
    void onRemoteLimits(const std::vector<registry::limit_report>& reports);
    /// @brief Another version of the document has become active.
    void onDocument();
    /// @brief Applies the document's priorities, or none if admission is off, and routes queued calls again that this
    /// concerns.
    void updatePriorities();
    /// @brief Updates the capacity of the ranked services.
    void updateCapacity();
    /// @return state of the admission, for operators
    [[nodiscard]] admission_overview admissionOverview();
    /// @brief Starts queued calls for which there is free capacity.
    void serveQueue();
    /// @brief Starts queued calls of one service.
    void serveQueue(const std::string& service);
    /// @brief Decides about a queued call again. @return whether it is queued no more
    bool tryQueued(gateway::call_number number);
    /// @brief Refuses calls that lost their place in the queue.
    void refuseDisplaced();
    /// @brief Refuses all queued calls when the gateway shuts down.
    void refuseAllQueued();
    /// @brief Reports the waiting call to the other gateways and schedules the next serveQueue().
    void onCallQueued();
    /// @brief Schedules the next serveQueue().
    void scheduleQueue(steady_time when);
    /// @brief Detects that the process has stalled. State received before may be stale then, so new calls wait until a
    /// controller has confirmed it.
    void checkForStall();
    /// @brief Resumes calls that wait for the controllers.
    void resumeWaitingCalls();
    /// @brief Updates the pool with the controllers' table of targets.
    void onTargets(const registry::target_view& targets);
    /// @return the open calls; the pointers keep them alive while they are notified
    [[nodiscard]] std::vector<std::shared_ptr<gateway_call>> openCalls() const;
    /// @brief Reports a target that refuses connections or doesn't respond to them.
    void onUnreachable(const std::string& address, net::reachability state);
    /// @brief A target accepts connections: the requests whose connections to it were lost haven't crashed it.
    void onReachable(const std::string& address);
    /// @brief Reports the requests that may have crashed the targets at an address.
    /// @param replacement the target that has the address now; empty: none
    void recordCrashes(const std::string& address, const registry::target_incarnation& replacement);
    /// @brief Adds changes of the quarantine to a heartbeat. @param isFirst whether it is the first of its session
    void fillQuarantine(link::gateway_heartbeat& heartbeat, bool isFirst);
    /// @brief Applies changes of the quarantine and receipts from the controllers.
    void onQuarantine(const link::gateway_update& update);
    /// @brief Notifies open calls that the quarantine has changed.
    void notifyQuarantineChanged();
    /// @brief Responds to health checks and requests for metrics, rate limits and admission.
    void onHealthRequest(const net::whole_request& request, const net::responder& respond);
    /// @brief Closes idle connections after the drain time, and ends the shutdown when no call is open any more.
    void checkStopped();
    /// @brief Updates the pool with the engines of the services.
    void updateEngines();
    [[nodiscard]] bool isReady() const { return m_context.document != nullptr && !m_context.isStopping; }

    link::event_loop& m_loop;
    const settings::settings& m_settings;
    gateway_document m_document;
    gateway_context m_context;
    std::set<std::string> m_engines; ///< services with an engine set in the pool
    std::shared_ptr<const gateway::document_rest> m_services; ///< as last applied to the pool
    std::set<std::shared_ptr<caller_connection>> m_connections;
    steady_time m_nextCrowdedLogAt {};
    net::tcp_listener m_listener;
    net::http_service m_health;
    gateway_session m_session;
    std::function<void()> m_onStopped;
    steady_time m_earliestStop {}; ///< the load balancer still routes callers here until then
    bool m_hasClosedIdle = false;
    std::unique_ptr<periodic_task> m_stopCheck;
    bool m_isAdmissionOn; ///< by the settings
    net::loop_timer m_queueTimer;
    steady_time m_nextQueueRunAt = steady_time::max(); ///< when the queue timer expires
    steady_time m_earliestQueueRunAt {}; ///< runs are spaced, as each one may cost a path search
    stall_watch m_stallWatch;
    periodic_task m_stallCheck;
};

/// @brief Runs the role until SIGTERM. @return the exit status
int runGateway(const settings::settings& settings, const gateway::traffic_dialect& traffic,
    const gateway::control_dialect& control);

} // namespace buckthornrail::app
