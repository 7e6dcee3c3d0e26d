/// @file
/// @brief Dialects of targets: how each kind is asked for readiness, load and work. Calls block.
#pragma once

#include "buckthornrail/dispatch/order_sequencer.hpp"
#include "buckthornrail/dispatch/sidecar_core.hpp"
#include "buckthornrail/execution/stage_guard.hpp"
#include "buckthornrail/http/http_client.hpp"
#include "buckthornrail/settings/settings.hpp"

#include <functional>
#include <memory>

namespace buckthornrail::app {

struct target_status {
    bool ready = false;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

using dispatch::work_outcome;

/// Gets the frames of an answer as they come; sequence numbers are set by the caller.
using frame_sink = std::function<void(dispatch::response_frame)>;

/// One step of a split request at a layer-range engine.
struct step_order {
    execution::stage_step step;
    std::uint32_t firstLayer = 0;
    std::uint32_t endLayer = 0;
    bool isLastStage = false;
    std::uint32_t maxTokens = 0;
};
struct step_outcome {
    result_code code = result_code::Ok;
    std::string reason;
    std::string output; ///< activations, or the token's text at the last stage
    bool last = false;
    std::string finishReason;
};

/// @brief One kind of target. Functions are called from several threads.
class target_adapter {
public:
    target_adapter() = default;
    target_adapter(const target_adapter&) = delete;
    target_adapter& operator=(const target_adapter&) = delete;
    virtual ~target_adapter() = default;

    virtual target_status probe() = 0;
    virtual work_outcome run(const attempt_id& attempt, const dispatch::work_order& work, steady_time deadline,
        http::call_canceller& canceller, const frame_sink& sink)
        = 0;
    /// @brief Stops what a closed connection alone might not stop.
    virtual void cancel(const attempt_id& attempt) { (void)attempt; }
    virtual step_outcome runStep(const step_order& order, steady_time deadline);
    /// @brief Tells the target to load a version. @return false when it knows a higher fencing number
    virtual bool sendOrder(const dispatch::target_order& order, steady_time deadline) = 0;
    /// @brief What the target has loaded: model and version.
    virtual std::pair<std::string, std::string> loadedModel() = 0;
    virtual void closeStage(const std::string& request) { (void)request; }
};

/// @brief Makes the dialect that the settings name.
std::unique_ptr<target_adapter> makeTargetAdapter(const settings::settings& settings);

} // namespace buckthornrail::app
