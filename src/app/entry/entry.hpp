/// @file
/// @brief The entry role: admits callers' requests, routes them to sidecars and gives back whole answers.
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

/// @brief Lives on the loop thread.
class entry {
public:
    entry(link::event_loop& loop, const settings::settings& settings, telemetry::metrics& metrics);
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;
    ~entry();

    tl::expected<void, failure> start();
    /// @brief Fails readiness, then takes no new request; calls `done` when all have their answers.
    void stop(std::function<void()> done);

    /// @brief Runs a request; its answer goes to the queue.
    void submit(const caller_request& request, std::shared_ptr<response_queue> queue);
    /// @brief The caller has gone.
    void callerGone(const std::string& requestId);

    /// @brief Names of the pipelines that a workspace may use.
    [[nodiscard]] std::vector<std::string> allowedPipelines(const std::string& workspace) const;
    /// @brief The decisions taken for a recent request, oldest first.
    [[nodiscard]] std::vector<std::string> explain(const std::string& requestId) const;
    [[nodiscard]] bool isReady() const { return m_isReady; }
    /// @brief Counts the HTTP threads that still write an answer: the process doesn't end before them.
    std::atomic<int>& activeHandlers() { return m_activeHandlers; }

private:
    /// What both kinds of run share.
    struct run_context {
        caller_request request;
        std::shared_ptr<response_queue> queue;
        admission_result admission;
        std::string version;
        steady_time startedAt {};
        steady_time attemptStartedAt {};
        std::uint32_t framesInAttempt = 0;
        bool isAttemptInFlight = false; ///< the route table counts an attempt
        std::uint32_t framesDelivered = 0; ///< of frames given to the queue
    };
    struct active_run {
        run_context context;
        dispatch::request_run run;
    };
    struct active_chain {
        run_context context;
        execution::chain_run run;
        std::vector<instance_id> stagesInFlight; ///< the route table counts a stage at each
    };

    session_callbacks sessionCallbacks();
    void onMessage(link::channel_number channel, const std::string& bytes);
    void handle(link::channel_number channel, const link::message& message);
    void handleStage(link::channel_number channel, const link::message& message);
    void onRefused(link::channel_number channel, const dispatch::attempt_refused& refused);
    void onMembership(const membership::membership_delta& delta);
    void onUnsentOffer(const attempt_id& attempt);
    void onLinkLost(const instance_id& instance);

    [[nodiscard]] tl::expected<admission_result, failure> admitRequest(const caller_request& request) const;
    /// @brief Draws the version that the request asks for.
    void applyAdmission(run_context& context, admission_result admission);
    void refuse(const run_context& context, const failure& why);
    [[nodiscard]] routing::route_query makeQuery(const run_context& context, steady_time now) const;
    void startRun(run_context context);
    void startChain(run_context context);

    void removeRun(const std::string& requestId);
    void carryOut(active_run& active, const dispatch::run_effect& effect);
    void carryOut(active_chain& active, const execution::chain_effect& effect);
    void chooseTarget(active_run& active, const dispatch::choose_target& effect);
    void reportNoTarget(active_run& active, const failure& why, steady_time now);
    /// @brief Takes the terms of the configuration now in force; the caller has been given nothing yet.
    tl::expected<void, failure> readmit(run_context& context);
    void releaseStages(active_chain& active);
    void chooseChain(active_chain& active, const execution::choose_chain& effect);
    void sendOffer(active_run& active, const dispatch::send_offer& offer);
    [[nodiscard]] dispatch::attempt_offer makeOffer(
        const run_context& context, const attempt_id& attempt, incarnation_number incarnation, steady_time now) const;
    void sendTo(const instance_id& instance, const link::message& message);
    void sendClaim(active_run& active, const dispatch::send_claim& claim);
    void recordOutcome(run_context& context, const instance_id& instance, const failure& outcome);
    void finish(run_context& context, const failure& result, ran_state ran, const std::string& finishReason);
    void deliverFrame(run_context& context, dispatch::response_frame frame);

    /// Calls an event function of the run that an attempt belongs to, and carries out what follows.
    template <typename Event> void withRun(const std::string& requestId, Event event);
    /// The same for all runs that follow the attempt: the one that made it, and those that resent its key.
    template <typename Event> void withAttempt(const attempt_id& attempt, Event event);
    template <typename Event> void withChain(const std::string& requestId, Event event);
    template <typename Runs, typename Event> void drive(Runs& runs, const std::string& requestId, Event event);
    /// The same for every run or chain that is open.
    template <typename Runs, typename Event> void driveAll(Runs& runs, Event event);

    void tick();
    void recordDecision(const std::string& requestId, const std::string& decision);

    link::event_loop& m_loop;
    const settings::settings& m_settings;
    telemetry::metrics& m_metrics;
    incarnation_number m_incarnation;
    std::mt19937_64 m_random;
    routing::route_table m_routes;
    std::map<std::string, active_run> m_runs;
    std::map<std::string, active_chain> m_chains;
    std::multimap<std::string, std::string> m_attachedRequests; ///< by the request whose attempt they follow
    std::map<std::string, std::string> m_pendingClaims; ///< request of each open claim command
    std::map<std::string, std::uint32_t> m_inFlight; ///< by workspace
    std::map<std::string, routing::retry_budget> m_retryBudgets; ///< by workspace
    std::map<std::string, std::vector<std::string>> m_decisions; ///< of recent requests
    std::deque<std::string> m_recentRequests;
    bool m_refusesRequests = false; ///< shutting down: no new request
    bool m_drainedByOperator = false;
    std::function<void()> m_onDrained;
    steady_time m_leaveDeadline {};
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

template <typename Runs, typename Event> void entry::drive(Runs& runs, const std::string& requestId, Event event)
{
    const auto found = runs.find(requestId);
    if (found == runs.end())
        return;
    auto& active = found->second;
    event(active.run, steadyNow());
    while (const auto effect = active.run.nextEffect())
        carryOut(active, *effect);
    if (active.run.isFinished())
        removeRun(requestId);
}

template <typename Runs, typename Event> void entry::driveAll(Runs& runs, Event event)
{
    std::vector<std::string> all;
    all.reserve(runs.size());
    for (const auto& [id, active] : runs)
        all.push_back(id);
    for (const auto& id : all)
        drive(runs, id, event);
}

template <typename Event> void entry::withRun(const std::string& requestId, Event event)
{
    drive(m_runs, requestId, event);
}

template <typename Event> void entry::withChain(const std::string& requestId, Event event)
{
    drive(m_chains, requestId, event);
}

template <typename Event> void entry::withAttempt(const attempt_id& attempt, Event event)
{
    withRun(attempt.request, event);
    const auto [first, last] = m_attachedRequests.equal_range(attempt.request);
    std::vector<std::string> attached;
    for (auto at = first; at != last; ++at)
        attached.push_back(at->second);
    for (const auto& id : attached)
        withRun(id, event);
}

} // namespace buckthornrail::app
