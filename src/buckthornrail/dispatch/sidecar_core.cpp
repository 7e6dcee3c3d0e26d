/// @file
/// @brief Handling of attempts at a sidecar.
#include "buckthornrail/dispatch/sidecar_core.hpp"

#include <utility>

namespace buckthornrail::dispatch {

sidecar_core::sidecar_core(instance_id self, gate_options options, std::size_t maxStoredBytes, steady_time now)
    : m_self(std::move(self))
    , m_gate(options, now)
    , m_responses(maxStoredBytes)
{
}

void sidecar_core::offer(const attempt_offer& offer, link_number linkNumber, steady_time now)
{
    const bool isKnown = m_gate.stateOf(offer.attempt).has_value();
    const auto effects = m_gate.offer(offer, linkNumber, now);
    const auto state = m_gate.stateOf(offer.attempt);
    const bool isOpen = state == gate_state::Queued || state == gate_state::Started;
    if (!isKnown && isOpen) {
        open_work work;
        work.offer = offer;
        work.deadline = now + milliseconds(offer.finishWithinMs);
        m_work.emplace(offer.attempt, std::move(work));
    }
    applyEffects(effects);
}

void sidecar_core::revoke(const attempt_revoke& revoke, link_number linkNumber, steady_time now)
{
    std::vector<gate_effect> effects;
    const auto outcome = m_gate.revoke(revoke, now, effects);
    if (outcome == revoke_outcome::NotStarted) {
        sendToAttached(revoke.attempt, attempt_refused { revoke.attempt, result_code::Revoked, "" });
        removeWork(revoke.attempt);
    }
    send(linkNumber, revoke_reply { revoke.attempt, outcome });
    applyEffects(effects);
}

void sidecar_core::attach(const response_attach& attach, link_number linkNumber, steady_time now)
{
    const auto reply = [&](attach_outcome outcome) { send(linkNumber, attach_reply { attach.attempt, outcome }); };
    if (attach.incarnation != m_gate.options().incarnation) {
        reply(attach_outcome::Unknown);
        return;
    }
    const auto state = m_gate.stateOf(attach.attempt);
    if (!state || state == gate_state::Refused) {
        // The tombstone prevents a later start of an attempt whose offer is still in flight.
        std::vector<gate_effect> effects;
        (void)m_gate.revoke({ attach.attempt, attach.incarnation, false }, now, effects);
        reply(attach_outcome::NotStarted);
        return;
    }
    if (state == gate_state::Queued) {
        m_attachedLinks[attach.attempt].insert(linkNumber);
        reply(attach_outcome::Attached);
        return;
    }
    const auto* response = m_responses.find(attach.attempt);
    if (response == nullptr || response->evicted) {
        reply(attach_outcome::Gone);
        return;
    }
    reply(attach_outcome::Attached);
    for (const auto& frame : response->frames)
        send(linkNumber, frame);
    if (response->end)
        send(linkNumber, *response->end);
    else
        m_attachedLinks[attach.attempt].insert(linkNumber);
}

void sidecar_core::linkLost(link_number linkNumber, steady_time now)
{
    for (auto& [attempt, linkNumbers] : m_attachedLinks)
        linkNumbers.erase(linkNumber);
    applyEffects(m_gate.linkLost(linkNumber, now));
}

void sidecar_core::tick(steady_time now)
{
    applyEffects(m_gate.tick(now));
    for (const auto& attempt : m_gate.takeExpired())
        m_responses.drop(attempt);
}

void sidecar_core::frame(response_frame frame)
{
    const auto found = m_work.find(frame.attempt);
    if (found == m_work.end())
        return;
    auto& work = found->second;
    frame.sequence = work.nextSequence++;
    work.digest.add(frame);
    if (work.offer.nonIdempotent)
        m_responses.add(frame);
    const auto linkNumber = m_gate.linkNumberOf(frame.attempt);
    sendToAttached(frame.attempt, frame);
    send(linkNumber, std::move(frame));
}

void sidecar_core::ended(const attempt_id& attempt, const work_outcome& outcome, steady_time now)
{
    const auto found = m_work.find(attempt);
    if (found == m_work.end())
        return;
    if (outcome.notStarted) {
        notStarted(attempt, { outcome.code, outcome.reason }, now);
        return;
    }
    const auto& work = found->second;
    const response_end end { attempt, outcome.code, outcome.reason, work.nextSequence, work.digest.value(),
        outcome.finishReason };
    if (work.offer.nonIdempotent)
        m_responses.end(end);
    const auto linkNumber = m_gate.linkNumberOf(attempt);
    send(linkNumber, end);
    sendToAttached(attempt, end);
    removeWork(attempt);
    const auto effects = m_gate.finished(attempt, now);
    reportLoad(linkNumber);
    applyEffects(effects);
}

void sidecar_core::stageOpened(const attempt_id& attempt)
{
    send(m_gate.linkNumberOf(attempt), attempt_started { attempt });
}

void sidecar_core::stageClosed(const attempt_id& attempt, steady_time now)
{
    removeWork(attempt);
    applyEffects(m_gate.finished(attempt, now));
}

void sidecar_core::notStarted(const attempt_id& attempt, const failure& why, steady_time now)
{
    m_responses.drop(attempt);
    applyEffects(m_gate.notStarted(attempt, why, now));
}

void sidecar_core::reportLoad(link_number linkNumber)
{
    send(linkNumber,
        load_report { m_self, static_cast<std::uint32_t>(m_gate.running()), static_cast<std::uint32_t>(m_gate.queued()),
            static_cast<std::uint32_t>(m_gate.options().slots) });
}

std::optional<sidecar_effect> sidecar_core::nextEffect()
{
    if (m_effects.empty())
        return std::nullopt;
    sidecar_effect effect = std::move(m_effects.front());
    m_effects.pop_front();
    return effect;
}

const work_order* sidecar_core::workOf(const attempt_id& attempt) const
{
    const auto found = m_work.find(attempt);
    return found == m_work.end() ? nullptr : &found->second.offer.work;
}

void sidecar_core::applyEffects(const std::vector<gate_effect>& effects)
{
    for (const auto& effect : effects) {
        if (const auto* accept = std::get_if<gate_accept>(&effect)) {
            send(accept->linkNumber, attempt_accepted { accept->attempt });
        } else if (const auto* refuse = std::get_if<gate_refuse>(&effect)) {
            const attempt_refused refused { refuse->attempt, refuse->why.code, refuse->why.reason };
            send(refuse->linkNumber, refused);
            reportLoad(refuse->linkNumber);
            sendToAttached(refuse->attempt, refused);
            removeWork(refuse->attempt);
        } else if (const auto* started = std::get_if<gate_start>(&effect)) {
            start(started->attempt);
        } else if (const auto* cancel = std::get_if<gate_cancel>(&effect)) {
            const auto found = m_work.find(cancel->attempt);
            if (found != m_work.end())
                m_effects.emplace_back(cancel_work { cancel->attempt, found->second.offer.work.kind });
        }
    }
}

void sidecar_core::start(const attempt_id& attempt)
{
    const auto found = m_work.find(attempt);
    if (found == m_work.end())
        return;
    const auto& work = found->second;
    if (work.offer.nonIdempotent)
        m_responses.begin(attempt);
    m_effects.emplace_back(start_work { attempt, work.offer.work, work.deadline });
    if (work.offer.work.kind != work_kind::Stage) {
        send(m_gate.linkNumberOf(attempt), attempt_started { attempt });
        sendToAttached(attempt, attempt_started { attempt });
    }
}

void sidecar_core::send(link_number linkNumber, sidecar_message message)
{
    if (linkNumber != 0)
        m_effects.emplace_back(send_to_link { linkNumber, std::move(message) });
}

void sidecar_core::sendToAttached(const attempt_id& attempt, const sidecar_message& message)
{
    const auto found = m_attachedLinks.find(attempt);
    if (found == m_attachedLinks.end())
        return;
    for (const auto linkNumber : found->second)
        send(linkNumber, message);
}

void sidecar_core::removeWork(const attempt_id& attempt)
{
    m_work.erase(attempt);
    m_attachedLinks.erase(attempt);
}

} // namespace buckthornrail::dispatch
