/// @file
/// @brief The sidecar role: admits work to one target and runs it there.
#pragma once

#include "app/shared/process.hpp"
#include "app/shared/session_client.hpp"
#include "app/sidecar/target_adapter.hpp"
#include "buckthornrail/dispatch/sidecar_core.hpp"

#include <asio/post.hpp>
#include <asio/thread_pool.hpp>

namespace buckthornrail::app {

/// @brief Used on the loop thread only. Blocking calls to the target run on a thread pool.
class sidecar {
public:
    sidecar(link::event_loop& loop, const settings::settings& settings, telemetry::metrics& metrics);
    sidecar(const sidecar&) = delete;
    sidecar& operator=(const sidecar&) = delete;
    ~sidecar();

    /// @brief Listens for links, and starts the session with the controllers and the probes of the target.
    /// @return BadSettings if the link address can't be listened on
    tl::expected<void, failure> start();
    /// @brief Refuses new work. Calls `done` when accepted work has ended and a controller has acknowledged the state
    /// Left, or when that takes too long.
    void stop(std::function<void()> done);
    /// @return whether the target is ready, the lease is valid and the sidecar isn't stopping. Safe on any thread.
    [[nodiscard]] bool isReady() const { return m_isReady; }

private:
    /// An instance that has opened a link to this sidecar.
    struct peer {
        instance_id instance;
        incarnation_number incarnation = 0;
        std::uint64_t epoch = 0; ///< increases with each link that the peer dials; 0 if the peer doesn't count them
    };

    void onClosed(link::link_number linkNumber);
    void onMessage(link::link_number linkNumber, const std::string& bytes);
    void handle(link::link_number linkNumber, const link::message& message);
    void onHello(link::link_number linkNumber, const link::link_hello& hello);
    void onOffer(link::link_number linkNumber, const dispatch::attempt_offer& offer);
    void onStep(const execution::stage_step& step);
    void onFence(link::link_number linkNumber, const link::stage_fence& fence);
    void onStageClose(const std::string& request);

    /// @brief Applies the pending effects of the dispatch core.
    void applyEffects();
    /// @brief Applies the pending effects of the order sequencer.
    void applyOrderEffects();
    void sendOrder(const dispatch::send_order& sending);
    void readTargetState();
    void reportOrder(const dispatch::report_order& report);
    void startWork(const dispatch::start_work& work);
    void startStage(const dispatch::start_work& work);
    void cancelWork(const dispatch::cancel_work& work);
    void onWorkEnded(const attempt_id& attempt, const dispatch::work_outcome& outcome);
    /// @brief Ends the open stage attempt of a request, if any, and frees its slot.
    void endStage(const std::string& request);
    void runStep(const execution::stage_step& step, const execution::chain_plan& plan, std::uint32_t maxTokens);
    void onStepEnded(const execution::stage_step& step, const step_outcome& outcome);
    /// @brief Sends a step to the sidecar of its stage, or handles it here if that is this sidecar.
    void forwardStep(const execution::stage_step& step, const execution::chain_stage& stage);
    /// @brief Sends to the entry that offered this generation of a request.
    void sendToEntry(const std::string& request, std::uint32_t generation, const link::message& message);

    void send(link::link_number linkNumber, const link::message& message);
    void probe();
    void onProbeEnded(const target_status& status);
    /// @brief Reports the state Ready or Joined to the controllers, unless the sidecar is stopping.
    void announceState();
    void tick();
    /// @return the layers that the target holds, and the address at which other sidecars reach this one
    [[nodiscard]] execution::chain_stage ownStage() const;

    link::event_loop& m_loop;
    const settings::settings& m_settings;
    telemetry::metrics& m_metrics;
    incarnation_number m_incarnation;
    std::unique_ptr<target_adapter> m_targetAdapter;
    dispatch::sidecar_core m_core;
    execution::stage_guard m_guard;
    dispatch::order_sequencer m_orders;
    bool m_paused = false; ///< an order waits until work has ended, or is in progress
    std::map<attempt_id, std::shared_ptr<http::call_canceller>> m_cancellers; ///< of calls in flight
    std::map<std::string, attempt_id> m_stageAttempts; ///< open stage attempt by request
    std::map<link::link_number, peer> m_peers;
    std::map<std::string, link::link_number> m_stageLinks; ///< dialled to other sidecars, by address
    std::map<link::link_number, std::vector<std::string>> m_unsent; ///< queued until a dialled link is open
    bool m_targetReady = false;
    bool m_probing = false;
    bool m_isStopping = false;
    std::function<void()> m_onStopped;
    steady_time m_leaveDeadline {}; ///< for the acknowledgement of the state Left
    std::atomic<bool> m_isReady { false };
    std::unique_ptr<link::link_hub> m_hub;
    std::unique_ptr<session_client> m_session;
    asio::thread_pool m_pool;
    std::unique_ptr<periodic_task> m_ticker;
    std::unique_ptr<periodic_task> m_prober;
};

/// @brief Runs the role until SIGTERM or SIGINT.
/// @return exit status of the process
int runSidecar(const settings::settings& settings);

} // namespace buckthornrail::app
