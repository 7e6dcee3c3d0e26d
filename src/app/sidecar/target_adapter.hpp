/// @file
/// @brief Adapters to the kinds of targets: probes, work, cancellation and orders over HTTP. Calls block.
#pragma once

#include "buckthornrail/dispatch/order_sequencer.hpp"
#include "buckthornrail/dispatch/sidecar_core.hpp"
#include "buckthornrail/execution/stage_guard.hpp"
#include "buckthornrail/http/http_client.hpp"
#include "buckthornrail/settings/settings.hpp"

#include <functional>
#include <memory>

namespace buckthornrail::app {

/// What a target reports about itself when it is probed.
struct target_status {
    bool ready = false;
    std::uint32_t running = 0; ///< requests in progress
    std::uint32_t queued = 0;
};

using dispatch::work_outcome;

/// Receives the frames of a response as they arrive, without sequence numbers: the receiver sets them.
using frame_sink = std::function<void(dispatch::response_frame)>;

/// One step of a split request, to be run by a layer_range target.
struct step_order {
    execution::stage_step step;
    std::uint32_t firstLayer = 0;
    std::uint32_t endLayer = 0; ///< exclusive
    bool isLastStage = false;
    std::uint32_t maxTokens = 0; ///< limit on the tokens of this generation
};
/// Result of a step.
struct step_outcome {
    result_code code = result_code::Ok;
    std::string reason;
    std::string output; ///< activations, or the text of the token at the last stage
    bool last = false; ///< no token follows
    std::string finishReason; ///< set with the last token
};

/// @brief Calls a target of one kind. Functions are called from several threads at once.
class target_adapter {
public:
    target_adapter() = default;
    target_adapter(const target_adapter&) = delete;
    target_adapter& operator=(const target_adapter&) = delete;
    virtual ~target_adapter() = default;

    /// @brief Queries the readiness and load of the target. A target that doesn't respond is not ready.
    virtual target_status probe() = 0;
    /// @brief Runs an attempt at the target, until it has ended or the canceller is used.
    /// @param sink receives the frames of the response on the calling thread
    virtual work_outcome run(const attempt_id& attempt, const dispatch::work_order& work, steady_time deadline,
        http::call_canceller& canceller, const frame_sink& sink)
        = 0;
    /// @brief Cancels an attempt at the target, which may not stop it when the connection closes.
    virtual void cancel(const attempt_id& attempt) { (void)attempt; }
    /// @brief Runs a step.
    /// @return TargetRejected if the target doesn't hold a range of layers
    virtual step_outcome runStep(const step_order& order, steady_time deadline);
    /// @brief Sends the target an order to load a version of a model.
    /// @return false if the target refuses the order because it has received a higher fencing token; true otherwise,
    /// also when the call fails
    virtual bool sendOrder(const dispatch::target_order& order, steady_time deadline) = 0;
    /// @return model and version that the target has loaded, empty if unknown
    virtual std::pair<std::string, std::string> loadedModel() = 0;
    /// @brief Notifies the target that it can discard the state of a split request.
    virtual void closeStage(const std::string& request) { (void)request; }
};

/// @brief Makes the adapter for the kind of target that is set.
std::unique_ptr<target_adapter> makeTargetAdapter(const settings::settings& settings);

} // namespace buckthornrail::app
