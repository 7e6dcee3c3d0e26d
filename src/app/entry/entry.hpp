/// @file
/// @brief The entry role: admits callers' requests, dispatches them to sidecars and returns complete responses.
#pragma once

#include "app/entry/admission.hpp"
#include "app/entry/response_queue.hpp"
#include "app/shared/process.hpp"
#include "app/shared/session_client.hpp"
#include "app/sidecar/sidecar_links.hpp"
#include "buckthornrail/dispatch/request_run.hpp"
#include "buckthornrail/execution/chain_run.hpp"
#include "buckthornrail/routing/retry_budget.hpp"
#include "buckthornrail/routing/route_table.hpp"

namespace buckthornrail::app {

/// @brief Owns the runs, the route table and the links of an entry. To be used only on the event loop's thread, except
/// isReady() and activeHandlers().
class entry {
public:
    /// @param loop must outlive the role, as must `settings` and `metrics`
    entry(link::event_loop& loop, const settings::settings& settings, telemetry::metrics& metrics);
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;
    ~entry();

    /// @brief Opens the session with the controllers; links to sidecars open when first needed.
    tl::expected<void, failure> start();
    /// @brief Shuts down gracefully: reports not ready at once, refuses new requests after a grace period and lets
    /// those in flight finish.
    /// @param done called once no request is in flight and the controllers know that this instance has left, or the
    /// timeout for that has passed
    void stop(std::function<void()> done);

    /// @brief Admits and runs a request.
    /// @param queue receives the response, or the reason why the request is refused
    void submit(const caller_request& request, std::shared_ptr<response_queue> queue);
    /// @brief The caller has disconnected or reads too slowly: cancels the request.
    void callerGone(const std::string& requestId);

    /// @return names of the pipelines that a workspace may use
    [[nodiscard]] std::vector<std::string> allowedPipelines(const std::string& workspace) const;
    /// @return the decisions made for a recent request, oldest first; empty: no longer stored
    [[nodiscard]] std::vector<std::string> explain(const std::string& requestId) const;
    [[nodiscard]] bool isReady() const { return m_isReady; }
    /// @brief Number of HTTP threads that serve a request. The process doesn't exit before it is 0.
    std::atomic<int>& activeHandlers() { return m_activeHandlers; }

private:
    /// State that both kinds of run have.
    struct run_context {
        caller_request request;
        std::shared_ptr<response_queue> queue;
        admission_result admission;
        std::string version;
        steady_time startedAt {};
        steady_time attemptStartedAt {};
        std::uint32_t framesInAttempt = 0;
        bool isAttemptInFlight = false; ///< counted so in the route table
        std::uint32_t framesDelivered = 0; ///< number of frames pushed to the queue
    };
    struct active_run {
        run_context context;
        dispatch::request_run run;
    };
    struct active_chain {
        run_context context;
        execution::chain_run run;
        std::vector<instance_id> stagesInFlight; ///< instances with a stage counted in the route table
    };

    session_callbacks sessionCallbacks();
    void onMessage(link::link_number linkNumber, const std::string& bytes);
    void handle(link::link_number linkNumber, const link::message& message);
    void handleStage(link::link_number linkNumber, const link::message& message);
    void onRefused(link::link_number linkNumber, const dispatch::attempt_refused& refused);
    void onMembership(const membership::membership_delta& delta);
    void onUnsentOffer(const attempt_id& attempt);
    void onLinkLost(const instance_id& instance);

    [[nodiscard]] tl::expected<admission_result, failure> admitRequest(const caller_request& request) const;
    /// @brief Stores the parameters of a request and draws its version.
    void applyAdmission(run_context& context, admission_result admission);
    /// @brief Logs the reason why a request isn't started, and sends it to the caller.
    void refuse(const run_context& context, const failure& why);
    [[nodiscard]] routing::route_query makeQuery(const run_context& context, steady_time now) const;
    void startRun(run_context context);
    void startChain(run_context context);

    /// @brief Removes a finished run or chain.
    void removeRun(const std::string& requestId);
    /// @brief Applies an effect that the state machine of a run or chain has requested.
    void applyEffect(active_run& active, const dispatch::run_effect& effect);
    void applyEffect(active_chain& active, const execution::chain_effect& effect);
    void chooseTarget(active_run& active, const dispatch::choose_target& effect);
    /// @brief Logs why routing has found no target, and reports it to the run.
    void reportNoTarget(active_run& active, const failure& why, steady_time now);
    /// @brief Admits a request again, under the configuration that is active now. To be called only before the first
    /// frame is delivered. @return why the request is refused now
    tl::expected<void, failure> readmit(run_context& context);
    /// @brief Reports the end of all stages of a chain to the route table.
    void releaseStages(active_chain& active);
    void chooseChain(active_chain& active, const execution::choose_chain& effect);
    void sendOffer(active_run& active, const dispatch::send_offer& offer);
    [[nodiscard]] dispatch::attempt_offer makeOffer(
        const run_context& context, const attempt_id& attempt, incarnation_number incarnation, steady_time now) const;
    void sendTo(const instance_id& instance, const link::message& message);
    void sendClaim(active_run& active, const dispatch::send_claim& claim);
    /// @brief Reports the end of the attempt in flight, if any, to the route table.
    void recordOutcome(run_context& context, const instance_id& instance, const failure& outcome);
    /// @brief Logs and counts the result of a request and sends it to the caller.
    void finish(run_context& context, const failure& result, ran_state ran, const std::string& finishReason);
    /// @brief Pushes a frame to the caller's queue. If it is full the request is cancelled.
    void deliverFrame(run_context& context, dispatch::response_frame frame);

    /// Passes an event to a run, if it is active, and applies the effects.
    template <typename Event> void withRun(const std::string& requestId, Event event);
    /// Passes an event to the run that made an attempt and to those attached to it, which resent its key.
    template <typename Event> void withAttempt(const attempt_id& attempt, Event event);
    /// Passes an event to a chain, if it is active, and applies the effects.
    template <typename Event> void withChain(const std::string& requestId, Event event);
    template <typename Runs, typename Event> void passEvent(Runs& runs, const std::string& requestId, Event event);
    /// Passes an event to every active run or chain.
    template <typename Runs, typename Event> void passEventToAll(Runs& runs, Event event);

    void tick();
    /// @brief Records a decision for explain(). Only the decisions of the most recent requests are stored.
    void recordDecision(const std::string& requestId, const std::string& decision);

    link::event_loop& m_loop;
    const settings::settings& m_settings;
    telemetry::metrics& m_metrics;
    incarnation_number m_incarnation;
    std::mt19937_64 m_random;
    routing::route_table m_routes;
    std::map<std::string, active_run> m_runs;
    std::map<std::string, active_chain> m_chains;
    std::multimap<std::string, std::string> m_attachedRequests; ///< by the request whose attempt holds their key
    std::map<std::string, std::string> m_pendingClaims; ///< request id by the id of the claim command
    std::map<std::string, std::uint32_t> m_inFlight; ///< number of requests by workspace
    std::map<std::string, routing::retry_budget> m_retryBudgets; ///< by workspace
    std::map<std::string, std::vector<std::string>> m_decisions; ///< by recent request
    std::deque<std::string> m_recentRequests; ///< keys of m_decisions, oldest first
    bool m_refusesRequests = false; ///< shutting down; set after the grace period
    bool m_drainedByOperator = false;
    std::function<void()> m_onStopped;
    steady_time m_leaveDeadline {}; ///< for the acknowledgement of the state Left
    std::atomic<bool> m_isReady { false };
    std::atomic<bool> m_isStopping { false };
    std::atomic<int> m_activeHandlers { 0 };
    std::unique_ptr<link::link_hub> m_hub;
    std::unique_ptr<session_client> m_session;
    std::unique_ptr<sidecar_links> m_links;
    std::unique_ptr<periodic_task> m_ticker;
};

/// @brief Runs the role until SIGTERM. @return the exit status
int runEntry(const settings::settings& settings);

template <typename Runs, typename Event> void entry::passEvent(Runs& runs, const std::string& requestId, Event event)
{
    const auto found = runs.find(requestId);
    if (found == runs.end())
        return;
    auto& active = found->second;
    event(active.run, steadyNow());
    while (const auto effect = active.run.nextEffect())
        applyEffect(active, *effect);
    if (active.run.isFinished())
        removeRun(requestId);
}

template <typename Runs, typename Event> void entry::passEventToAll(Runs& runs, Event event)
{
    std::vector<std::string> all;
    all.reserve(runs.size());
    for (const auto& [id, active] : runs)
        all.push_back(id);
    for (const auto& id : all)
        passEvent(runs, id, event);
}

template <typename Event> void entry::withRun(const std::string& requestId, Event event)
{
    passEvent(m_runs, requestId, event);
}

template <typename Event> void entry::withChain(const std::string& requestId, Event event)
{
    passEvent(m_chains, requestId, event);
}

template <typename Event> void entry::withAttempt(const attempt_id& attempt, Event event)
{
    withRun(attempt.request, event);
    const auto [first, last] = m_attachedRequests.equal_range(attempt.request);
    std::vector<std::string> attached;
    for (auto it = first; it != last; ++it)
        attached.push_back(it->second);
    for (const auto& id : attached)
        withRun(id, event);
}

} // namespace buckthornrail::app
