/// @file
/// @brief The sidecar role: the only gate to its target.
#pragma once

#include "app/shared/process.hpp"
#include "app/shared/session_client.hpp"
#include "app/sidecar/target_adapter.hpp"
#include "buckthornrail/dispatch/sidecar_core.hpp"

#include <asio/post.hpp>
#include <asio/thread_pool.hpp>

namespace buckthornrail::app {

/// @brief Lives on the loop thread; calls to the target run on a thread pool.
class sidecar {
public:
    sidecar(link::event_loop& loop, const settings::settings& settings, telemetry::metrics& metrics);
    sidecar(const sidecar&) = delete;
    sidecar& operator=(const sidecar&) = delete;
    ~sidecar();

    tl::expected<void, failure> start();
    /// @brief No new work; calls `done` when accepted work has ended and the controllers know.
    void stop(std::function<void()> done);
    [[nodiscard]] bool isReady() const { return m_isReady; }

private:
    struct peer {
        instance_id instance;
        incarnation_number incarnation = 0;
        std::uint64_t epoch = 0;
    };

    void onClosed(link::channel_number channel);
    void onMessage(link::channel_number channel, const std::string& bytes);
    void handle(link::channel_number channel, const link::message& message);
    void onHello(link::channel_number channel, const link::link_hello& hello);
    void onOffer(link::channel_number channel, const dispatch::attempt_offer& offer);
    void onStep(const execution::stage_step& step);
    void onFence(link::channel_number channel, const link::stage_fence& fence);
    void onStageClose(const std::string& request);

    void carryOutEffects();
    void carryOutOrderEffects();
    void sendOrder(const dispatch::send_order& sending);
    void readTargetState();
    void reportOrder(const dispatch::report_order& report);
    void startWork(const dispatch::start_work& work);
    void startStage(const dispatch::start_work& work);
    void cancelWork(const dispatch::cancel_work& work);
    void onWorkEnded(const attempt_id& attempt, const dispatch::work_outcome& outcome);
    void endStage(const std::string& request);
    void runStep(const execution::stage_step& step, const execution::chain_plan& plan, std::uint32_t maxTokens);
    void onStepEnded(const execution::stage_step& step, const step_outcome& outcome);
    void forwardStep(const execution::stage_step& step, const execution::chain_stage& stage);
    void sendToEntry(const std::string& request, std::uint32_t generation, const link::message& message);

    void send(link::channel_number channel, const link::message& message);
    void probe();
    void onProbeEnded(const target_status& status);
    void announceState();
    void tick();
    [[nodiscard]] execution::chain_stage ownStage() const;

    link::event_loop& m_loop;
    const settings::settings& m_settings;
    telemetry::metrics& m_metrics;
    incarnation_number m_incarnation;
    std::unique_ptr<target_adapter> m_targetAdapter;
    dispatch::sidecar_core m_core;
    execution::stage_guard m_guard;
    dispatch::order_sequencer m_orders;
    bool m_paused = false; ///< an order waits for work to end, or is being carried out
    std::map<attempt_id, std::shared_ptr<http::call_canceller>> m_cancellers; ///< of calls to the target
    std::map<std::string, attempt_id> m_stageAttempts; ///< open stage attempt of each request
    std::map<link::channel_number, peer> m_peers;
    std::map<std::string, link::channel_number> m_stageChannels; ///< links dialled to other sidecars, by address
    std::map<link::channel_number, std::vector<std::string>> m_unsent; ///< until a dialled link is open
    bool m_targetReady = false;
    bool m_probing = false;
    bool m_draining = false;
    std::function<void()> m_onStopped;
    steady_time m_leaveDeadline {};
    std::atomic<bool> m_isReady { false };
    std::unique_ptr<link::link_hub> m_hub;
    std::unique_ptr<session_client> m_session;
    asio::thread_pool m_pool;
    std::unique_ptr<periodic_task> m_ticker;
    std::unique_ptr<periodic_task> m_prober;
};

/// @brief Runs the role until SIGTERM. @return the exit status
int runSidecar(const settings::settings& settings);

} // namespace buckthornrail::app
