/// @file
/// @brief Watching an open attempt: silence, members that are gone, deadlines.
#include "buckthornrail/gateway/exchange.hpp"

#include <algorithm>
#include <utility>

namespace buckthornrail::gateway {
namespace {

constexpr const char* silentReason = "silent for too long";

} // namespace

void exchange::onReport(bool answered, const std::string& faultyAddress, steady_time now)
{
    if (!m_attemptOpen)
        return;
    if (answered)
        m_openAsks = 0;
    const bool firstIsDark = !answered && m_openAsks >= m_options.unansweredAsks;
    registry::target_incarnation faulty;
    if (firstIsDark)
        faulty = m_where.parts.front().target;
    else if (!faultyAddress.empty())
        faulty = m_pool.idAt(faultyAddress);
    if (faulty.empty()) {
        m_vainAsks += answered ? 1 : 0;
        return;
    }
    blame(faulty, true, now);
    move({ ran_state::Unknown, firstHasEnded(), "held up by " + text(faulty) }, m_bounds, now);
}

void exchange::onUnreachable(const registry::target_incarnation& target, steady_time now)
{
    if (!m_attemptOpen || !m_sent || !hasPath())
        return;
    const auto heard = std::max(m_lastEventAt, m_attemptStart);
    if (!isMember(target) || now < heard + m_options.silentEnough)
        return; // perhaps only this gateway can't reach it
    blame(target, true, now);
    move({ ran_state::Unknown, firstHasEnded(), "held up by " + text(target) + ", which takes no connection" },
        m_bounds, now);
}

void exchange::onTargetsChanged(steady_time now)
{
    if (!m_attemptOpen || !m_sent)
        return;
    if (m_pool.wasReplaced(m_where.parts.front().target)) {
        leaveEndedLife(now);
        return;
    }
    for (const auto& part : m_where.parts) {
        const bool wasReplaced = m_pool.wasReplaced(part.target);
        if (!wasReplaced && !m_pool.gaveUp(part.target, part.layers))
            continue;
        const std::string how = wasReplaced ? " has started anew" : " gave its layers up";
        move({ ran_state::Unknown, firstHasEnded(), "cut off: " + text(part.target) + how }, m_bounds, now);
        return;
    }
}

void exchange::leaveEndedLife(steady_time now)
{
    // Its connection may stay silent for good when the machine was cut off meanwhile: nothing will come of it.
    const std::string reason = "cut off: " + text(m_where.parts.front().target) + " has started anew";
    closeAttempt();
    tryNext({ ran_state::Unknown, true, reason }, now);
}

void exchange::onQuarantineChanged(steady_time now)
{
    if (m_over)
        return;
    if (m_next) {
        askToBegin(now);
        return;
    }
    const bool mayLeave = m_attemptOpen && !m_promptRead && !m_answer && m_request.mayRepeat();
    if (!mayLeave || !m_port.mustCancel())
        return;
    closeAttempt();
    tryNext({ ran_state::Unknown, false, "left: targets ended under the same request" }, now);
}

bool exchange::firstHasEnded() const { return m_pool.hasEnded(m_where.parts.front().target); }

bool exchange::isMember(const registry::target_incarnation& target) const
{
    return std::any_of(
        m_where.parts.begin(), m_where.parts.end(), [&target](const auto& part) { return part.target == target; });
}

bool exchange::hadEventThrough(const registry::target_incarnation& target, steady_time since) const
{
    return m_attemptOpen && m_lastEventAt >= since && m_lastEventAt > m_attemptStart && isMember(target);
}

void exchange::checkMembersWhenDue(steady_time now)
{
    if (now < m_checkAt)
        return;
    m_checkAt = now + m_options.checkAgainAfter * (1U << std::min(m_vainChecks++, 3U));
    m_port.probeMembers(silentSince(now));
}

steady_time exchange::silentSince(steady_time now) const
{
    if (m_pacedEvents == 0)
        return now - m_options.heardLately;
    // What came through a member before this stream's own next event was due may be from before the member stalled.
    return m_lastEventAt + std::max<steady_time::duration>(m_usualGap, m_options.checkAfter / 2);
}

void exchange::onTimer(steady_time now)
{
    if (m_over)
        return;
    if (now >= m_request.deadline) {
        if (m_attemptOpen)
            closeAttempt();
        const bool mayHaveRun = m_mayHaveRun || m_sent;
        finish(mayHaveRun ? result_code::OutcomeUnknown : result_code::DeadlinePassed,
            mayHaveRun ? ran_state::Unknown : ran_state::No, "no time left", now);
        return;
    }
    if (m_next && now >= m_goOnAt) {
        askToBegin(now);
        return;
    }
    if (m_paused && now >= m_goOnAt) {
        const auto last = *std::exchange(m_paused, std::nullopt);
        goOn(last, now);
        return;
    }
    if (m_attemptOpen && m_sent) {
        const bool hasLeft = hasPath() ? leaveSilentPath(now) : leaveSlowTarget(now);
        if (hasLeft || m_over || !m_attemptOpen)
            return;
    }
    scheduleWake(now);
}

bool exchange::leaveSilentPath(steady_time now)
{
    if (now >= m_moveAt) {
        auto bounds = m_bounds;
        for (const auto& part : m_where.parts)
            bounds.excluded.insert(part.target);
        if (move({ ran_state::Unknown, false, silentReason }, std::move(bounds), now))
            return true;
        m_moveAt = now + m_options.moveAfter;
    }
    checkMembersWhenDue(now);
    if (now >= m_askAt) {
        m_askAt = now + m_options.askAgainAfter * (1U << std::min(m_vainAsks, 5U));
        askFirst(now);
    }
    return false;
}

void exchange::askFirst(steady_time now)
{
    const auto first = m_where.parts.front().target;
    if (!m_pool.maySend(first, now))
        return; // a question that wasn't put says nothing of the target
    m_pool.noteSent(first, now);
    ++m_openAsks;
    m_port.requestReport();
}

bool exchange::leaveSlowTarget(steady_time now)
{
    if (m_request.chosen->kind != request_kind::Safe || m_answer || now < m_moveAt)
        return false;
    const auto first = m_where.parts.front().target;
    const std::chrono::duration<double, std::milli> took = now - m_attemptStart;
    m_pool.succeeded(first, took.count());
    auto bounds = m_bounds;
    bounds.excluded.insert(first);
    return move({ ran_state::Unknown, false, silentReason }, std::move(bounds), now);
}

void exchange::scheduleWake(steady_time now)
{
    steady_time when = m_request.deadline;
    if (m_paused || m_next)
        when = std::min(when, m_goOnAt);
    if (m_attemptOpen && m_sent && hasPath())
        when = std::min({ when, m_askAt, m_checkAt, m_moveAt > now ? m_moveAt : when });
    if (m_attemptOpen && m_sent && !hasPath() && m_request.chosen->kind == request_kind::Safe && !m_answer) {
        const auto patience
            = std::chrono::duration_cast<milliseconds>(m_request.chosen->latencyTarget * m_options.retryPart);
        m_moveAt = m_attemptStart + patience;
        if (m_moveAt > now)
            when = std::min(when, m_moveAt);
    }
    m_port.setTimer(when);
}

} // namespace buckthornrail::gateway
