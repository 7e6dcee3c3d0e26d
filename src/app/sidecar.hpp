/// @file
/// @brief The sidecar role: the only gate to its target.
#pragma once

#include "app/process.hpp"
#include "app/session_client.hpp"
#include "app/target_adapter.hpp"
#include "buckthornrail/dispatch/answer.hpp"
#include "buckthornrail/dispatch/answer_store.hpp"
#include "buckthornrail/dispatch/target_gate.hpp"

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
    void drainAndStop(std::function<void()> done);
    [[nodiscard]] bool isReady() const { return m_isReady; }

private:
    /// An attempt that was accepted and has not ended.
    struct open_work {
        dispatch::attempt_offer offer;
        std::shared_ptr<http::call_canceller> canceller = std::make_shared<http::call_canceller>();
        steady_time deadline {};
        std::uint32_t nextSequence = 0;
        dispatch::answer_digest digest;
        bool toldStarted = false;
    };
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
    void onRevoke(link::channel_number channel, const dispatch::attempt_revoke& revoke);
    void onAttach(link::channel_number channel, const dispatch::answer_attach& attach);
    void onStep(const execution::stage_step& step);
    void onFence(link::channel_number channel, const link::stage_fence& fence);
    void onStageClose(const std::string& request);

    void carryOut(const std::vector<dispatch::gate_effect>& effects);
    void startWork(const attempt_id& attempt);
    void startStage(const attempt_id& attempt, open_work& work);
    void cancelWork(const attempt_id& attempt);
    void takeFrame(dispatch::answer_frame frame);
    void endWork(const attempt_id& attempt, const work_outcome& outcome);
    void endStage(const std::string& request);
    void tellStarted(const attempt_id& attempt, open_work& work);
    void runStep(const execution::stage_step& step, const execution::chain_plan& plan, std::uint32_t maxTokens);
    void stepDone(const execution::stage_step& step, const step_outcome& outcome);
    void passOn(const execution::stage_step& step, const execution::chain_stage& stage);
    void tellEntry(const std::string& request, std::uint32_t generation, const link::message& message);

    void send(link::channel_number channel, const link::message& message);
    void sendLoad(link::channel_number channel);
    void probe();
    void takeCondition(const target_condition& condition);
    void announceState();
    void tick();
    [[nodiscard]] execution::chain_stage ownStage() const;

    link::event_loop& m_loop;
    const settings::settings& m_settings;
    telemetry::metrics& m_metrics;
    incarnation_number m_incarnation;
    std::unique_ptr<target_dialect> m_dialect;
    dispatch::target_gate m_gate;
    execution::stage_guard m_guard;
    dispatch::answer_store m_answers;
    std::map<attempt_id, open_work> m_work;
    std::map<std::string, std::set<link::channel_number>> m_followers; ///< of attempts, by toString(attempt)
    std::map<std::string, attempt_id> m_stageWork; ///< open stage attempt of each request
    std::map<link::channel_number, peer> m_peers;
    std::map<std::string, link::channel_number> m_nextStages; ///< links dialled to other sidecars, by address
    std::map<link::channel_number, std::vector<std::string>> m_unsent; ///< until a dialled link is open
    bool m_targetReady = false;
    bool m_probing = false;
    bool m_draining = false;
    std::function<void()> m_whenDrained;
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
