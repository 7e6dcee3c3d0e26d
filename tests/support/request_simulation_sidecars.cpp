/// @file
/// @brief Simulated sidecars: their effects and the jobs of their targets.
#include "support/request_simulation.hpp"

#include "support/token_model.hpp"

namespace test_support {
namespace {

constexpr milliseconds tokenTime { 30 };

} // namespace

void request_simulation::runAtSidecar(std::size_t sidecar, const event& action)
{
    auto& node = m_sidecars[sidecar];
    if (node.paused) {
        node.deferredEvents.push_back(action);
        return;
    }
    action();
    applySidecarEffects(sidecar);
}

void request_simulation::applySidecarEffects(std::size_t sidecar)
{
    auto& node = m_sidecars[sidecar];
    while (const auto effect = node.core->nextEffect()) {
        if (const auto* work = std::get_if<start_work>(&*effect))
            startJob(sidecar, *work);
        else if (const auto* cancel = std::get_if<cancel_work>(&*effect))
            node.jobs[cancel->attempt].cancelled = true;
        else if (const auto* sent = std::get_if<send_to_link>(&*effect))
            sendToEntry(sidecar, sent->linkNumber, sent->message);
    }
}

void request_simulation::startJob(std::size_t sidecar, const start_work& work)
{
    auto& node = m_sidecars[sidecar];
    if (node.mode == target_mode::Refuses) {
        schedule(milliseconds(5), [this, sidecar, incarnation = node.incarnation, attempt = work.attempt] {
            if (m_sidecars[sidecar].incarnation != incarnation)
                return;
            runAtSidecar(sidecar, [this, sidecar, attempt] {
                m_sidecars[sidecar].core->ended(attempt, { result_code::TargetNotReady, "", "", true }, m_now);
            });
        });
        return;
    }
    execution_record execution;
    execution.target = std::to_string(sidecar);
    execution.request = work.attempt.request;
    execution.attempt = work.attempt.number;
    execution.key = m_keys[work.attempt.request];
    m_executions.push_back(execution);
    node.jobs[work.attempt] = { work.work, 0, work.work.prompt, false };
    schedule(tokenTime, [this, sidecar, incarnation = node.incarnation, attempt = work.attempt] {
        advanceJob(sidecar, incarnation, attempt);
    });
}

void request_simulation::advanceJob(std::size_t sidecar, incarnation_number incarnation, const attempt_id& attempt)
{
    auto& node = m_sidecars[sidecar];
    if (node.incarnation != incarnation)
        return;
    auto& job = node.jobs.at(attempt);
    const auto end = [&](const work_outcome& outcome) {
        runAtSidecar(
            sidecar, [this, sidecar, attempt, outcome] { m_sidecars[sidecar].core->ended(attempt, outcome, m_now); });
    };
    if (job.cancelled) {
        end({ result_code::Cancelled, "", "", false });
        return;
    }
    if (node.mode == target_mode::Stalls && job.generated > 0) {
        schedule(tokenTime, [this, sidecar, incarnation, attempt] { advanceJob(sidecar, incarnation, attempt); });
        return;
    }
    if (node.mode == target_mode::Fails && job.generated > 0) {
        end({ result_code::TargetFailed, "", "", false });
        return;
    }
    if (job.generated >= job.work.maxTokens) {
        end({ result_code::Ok, "", "length", false });
        return;
    }
    response_frame frame;
    frame.attempt = attempt;
    frame.bytes = nextToken(job.text);
    job.text += frame.bytes;
    ++job.generated;
    runAtSidecar(sidecar, [this, sidecar, frame] { m_sidecars[sidecar].core->frame(frame); });
    schedule(tokenTime, [this, sidecar, incarnation, attempt] { advanceJob(sidecar, incarnation, attempt); });
}

void request_simulation::restartSidecar(std::size_t sidecar)
{
    auto& node = m_sidecars[sidecar];
    node.incarnation = m_lastIncarnation += 2; // the number below it serves as an outdated incarnation
    gate_options options;
    options.incarnation = node.incarnation;
    options.slots = 2;
    options.queueLimit = 3;
    node.core = std::make_unique<sidecar_core>(std::to_string(sidecar), options, 1U << 20U, m_now);
    node.core->gate().renewConfiguration(m_configuration, m_now + std::chrono::seconds(3));
    node.core->gate().setReady(true);
    node.core->gate().setDraining(node.draining);
    node.jobs.clear();
    node.paused = false;
    node.deferredEvents.clear();
}

} // namespace test_support
