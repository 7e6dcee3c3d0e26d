/// @file
/// @brief The gateway role: callers in front, targets behind, without sidecars.
#pragma once

#include "app/gateway/gateway_call.hpp"
#include "app/gateway/gateway_session.hpp"
#include "buckthornrail/core/standstill_watch.hpp"

#include <set>

namespace buckthornrail::app {

class caller_channel;

/// @brief Lives on the loop thread.
class gateway_role {
public:
    gateway_role(link::event_loop& loop, const settings::settings& settings, const gateway::traffic_dialect& traffic,
        const gateway::control_dialect& control, telemetry::metrics& metrics);
    gateway_role(const gateway_role&) = delete;
    gateway_role& operator=(const gateway_role&) = delete;
    ~gateway_role();

    tl::expected<void, failure> start();
    /// @brief Not ready at once; work in flight ends; then calls `done`.
    void stop(std::function<void()> done);
    /// @brief Takes what may change while it runs: the controllers' addresses.
    void reload(const settings::settings& changed) { m_session.setSeeds(changed.controllers); }

    [[nodiscard]] gateway_context& context() { return m_context; }
    [[nodiscard]] link::event_loop& loop() { return m_loop; }
    [[nodiscard]] gateway::caller_limits limits() const;
    void removeChannel(const std::shared_ptr<caller_channel>& channel) { m_channels.erase(channel); }

private:
    void onChannel(net::channel_pointer channel);
    /// @brief Takes over what the leader says of the other gateways.
    void onSessionUpdate(const link::gateway_update& update);
    /// @brief Other gateways have heard targets name limits.
    void onRemoteLimits(const std::vector<registry::limit_news>& news);
    /// @brief Another version is in force.
    void onDocument();
    /// @brief What was told before a standstill may be long overtaken: calls wait until it is confirmed.
    void checkForStall();
    /// @brief Lets calls go on that wait for the controllers' word.
    void resumeWaitingCalls();
    void onTargets(const registry::target_view& targets);
    /// @brief Calls that are open now, kept alive while they are told something.
    [[nodiscard]] std::vector<std::shared_ptr<gateway_call>> openCalls() const;
    void onUnreachable(const std::string& address, net::reachability found);
    /// @brief A target that may have ended with what was cut off there takes connections.
    void onReachable(const std::string& address);
    /// @brief Targets at an address have ended. @param survivor the one that has it now; empty: none
    void recordCrashes(const std::string& address, const registry::target_incarnation& replacement);
    void fillQuarantine(link::gateway_beat& beat, bool isFirst);
    void onQuarantine(const link::gateway_update& update);
    /// @brief Tells open calls that what is held against requests has changed.
    void notifyQuarantineChanged();
    void onHealthRequest(const net::whole_request& request, const net::responder& respond);
    void checkStopped();
    /// @brief Tells the pool which engines the services have.
    void updateEngines();
    [[nodiscard]] bool isReady() const { return m_context.document != nullptr && !m_context.isStopping; }

    link::event_loop& m_loop;
    const settings::settings& m_settings;
    gateway_document m_document;
    gateway_context m_context;
    std::set<std::string> m_engines; ///< services that the pool knows an engine of
    std::shared_ptr<const gateway::document_rest> m_services; ///< that the pool knows
    std::set<std::shared_ptr<caller_channel>> m_channels;
    net::tcp_listener m_listener;
    net::http_service m_health;
    gateway_session m_session;
    std::function<void()> m_onStopped;
    steady_time m_earliestStop {}; ///< callers are still led here until then
    bool m_hasClosedIdle = false;
    std::unique_ptr<periodic_task> m_stopCheck;
    standstill_watch m_stallWatch;
    periodic_task m_stallCheck;
};

/// @brief Runs the role until SIGTERM. @return the exit status
int runGateway(const settings::settings& settings, const gateway::traffic_dialect& traffic,
    const gateway::control_dialect& control);

} // namespace buckthornrail::app
