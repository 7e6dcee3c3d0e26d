/// @file
/// @brief Decisions over the life of a request.
#include "buckthornrail/gateway/exchange.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace buckthornrail::gateway {
namespace {

/// Statuses that promise that a request has not run; a target's own promise is told by its answer's mark alone.
constexpr std::array promisingStatuses { 408, 421, 429, 503 };
constexpr int firstServerError = 500;
constexpr int firstFailure = 300;
/// Weight of the newest gap in a stream's usual one: about the last five count.
constexpr int gapsRemembered = 5;

bool isPromise(int status)
{
    return std::find(promisingStatuses.begin(), promisingStatuses.end(), status) != promisingStatuses.end();
}

std::string inMs(milliseconds time) { return std::to_string(time.count()); }

} // namespace

exchange::exchange(exchange_request request, exchange_port& port, target_pool& pool, shared_retry_budget& budget,
    const exchange_options& options)
    : m_request(std::move(request))
    , m_port(port)
    , m_pool(pool)
    , m_budget(budget)
    , m_options(options)
    , m_lastEventId(m_request.lastEventId)
{
    m_bounds.eventGapTarget = m_request.chosen->eventGapTarget;
}

void exchange::start(steady_time now)
{
    m_budget.countRequest(now);
    const auto where = m_pool.select(m_request.service, m_bounds, now);
    if (!where) {
        finish(result_code::NoTarget, ran_state::No, "no usable target or path", now);
        return;
    }
    if (!where->hasRoom) {
        finish(result_code::Busy, ran_state::No, "no path with room: " + where->summary, now);
        return;
    }
    begin({ *where, {}, {}, m_bounds }, now);
}

void exchange::begin(next_attempt next, steady_time now)
{
    m_next = std::move(next);
    m_heldUntil = m_streamBegun ? m_lastEventAt + m_options.longestPause : now + m_options.heldPatience;
    askToBegin(now);
}

dispatch_verdict exchange::askPort(steady_time now)
{
    const bool isHeldBack = !m_pool.maySend(m_next->where->parts.front().target, now);
    const auto verdict = isHeldBack ? dispatch_verdict::Elsewhere : m_port.requestDispatch(*m_next->where);
    if (verdict != dispatch_verdict::Elsewhere)
        return verdict;
    auto bounds = m_next->bounds;
    bounds.excluded.insert(m_next->where->parts.front().target);
    const auto other = m_pool.select(m_request.service, bounds, now);
    if (!other) {
        m_next->bounds = m_bounds; // all are taken: whichever is free first will do
        return dispatch_verdict::Wait;
    }
    m_next->where = other;
    m_next->bounds = std::move(bounds);
    return m_port.requestDispatch(*other);
}

void exchange::askToBegin(steady_time now)
{
    const auto verdict = askPort(now);
    if (verdict == dispatch_verdict::Go) {
        const auto next = *std::exchange(m_next, std::nullopt);
        m_ranAt = next.ranAt;
        m_bounds = next.bounds;
        open(*next.where, now);
        return;
    }
    if (verdict == dispatch_verdict::Refuse) {
        m_next.reset();
        finish(result_code::RequestQuarantined, m_mayHaveRun ? ran_state::Unknown : ran_state::No,
            "targets end under it", now);
        return;
    }
    if (now >= m_heldUntil) {
        m_next.reset();
        const std::string reason = "targets ended under it: it runs in one place at a time";
        if (m_mayHaveRun)
            finish(result_code::TargetFailed, ran_state::Unknown, reason, now);
        else
            finish(result_code::RequestHeld, ran_state::No, reason, now);
        return;
    }
    m_goOnAt = now + m_options.heldPeriod;
    scheduleWake(now);
}

void exchange::onSent(steady_time now)
{
    m_sent = true;
    m_moveAt = now + m_options.moveUnstartedAfter;
    m_askAt = now + m_options.askAfter;
    m_checkAt = now + m_options.checkUnstartedAfter;
    scheduleWake(now);
}

void exchange::onHead(const target_response& answer, steady_time now)
{
    if (!m_attemptOpen || m_answer)
        return;
    m_answer = answer;
    m_sent = true;
    const auto first = m_where.parts.front().target;
    if (answer.pushback)
        onPushback(*answer.pushback, answer.isAuthentic, m_attemptStart, now);
    if (answer.notRun) {
        registry::target_incarnation faulty = answer.faultyAddress.empty() ? first : m_pool.idAt(answer.faultyAddress);
        if (faulty.empty())
            faulty = first; // it names one that isn't known here any more
        const bool asksForRest = answer.pushback && answer.pushback->rest;
        if (faulty != first || !asksForRest)
            m_pool.refused(faulty, now);
        m_bounds.excluded.insert(faulty);
        closeAttempt();
        tryNext(
            { ran_state::No, false, "refused with status " + std::to_string(answer.status) + " by " + text(faulty) },
            now);
        return;
    }
    if (!answer.isAuthentic) {
        blame(first, false, now);
        closeAttempt();
        tryNext({ ran_state::Unknown, false,
                    "an answer of status " + std::to_string(answer.status) + " to something else" },
            now);
        return;
    }
    if (answer.status < firstFailure)
        return;
    const attempt_end end { ran_state::Yes, false, "failed with status " + std::to_string(answer.status) };
    const bool isFault = answer.status >= firstServerError;
    if (isFault)
        blame(first, false, now);
    // A promise that the target didn't make can't go to the caller; other failures go as they are if nothing is left.
    // A failure that a second target repeats is the request's own: of 27 such requests of a played day, 11 were served
    // by the second target, and none later.
    const bool isFirstFault = isFault && !std::exchange(m_hadOwnFailure, true);
    if (isPromise(answer.status) || (isFirstFault && whyNoRepeat(end, now).empty())) {
        closeAttempt();
        tryNext(end, now);
    }
}

void exchange::onBody(steady_time now)
{
    if (!m_attemptOpen || !m_answer)
        return;
    const auto first = m_where.parts.front().target;
    const int status = m_answer->status;
    if (m_request.isStream() && m_answer->isEventStream && status < firstFailure) {
        onAttemptFailed(attempt_failure::ConnectionLost, now);
        return;
    }
    closeAttempt();
    if (status < firstServerError)
        m_pool.succeeded(first, static_cast<double>(between(m_attemptStart, now).count()));
    m_port.forwardResponse();
    m_over = true;
    m_port.logEvent(event_code::RequestFinished,
        { { "request", m_request.id }, { "route", m_request.chosen->name }, { "outcome", "passed_on" },
            { "status", std::to_string(status) }, { "attempts", std::to_string(m_tries) }, { "target", text(first) },
            { "ms", inMs(between(m_request.arrived, now)) } });
}

void exchange::onEvent(std::string_view bytes, std::optional<std::uint64_t> id, steady_time now)
{
    if (!m_attemptOpen || !m_answer)
        return;
    if (id && m_lastEventId && *id <= *m_lastEventId)
        return; // the caller has it
    if (id && m_lastEventId && *id != *m_lastEventId + 1) {
        blameFirst(now);
        closeAttempt();
        tryNext({ ran_state::Yes, false, "event " + std::to_string(*id) + " after " + std::to_string(*m_lastEventId) },
            now);
        return;
    }
    if (id)
        m_lastEventId = id;
    if (m_pacedEvents == 0) {
        m_pacedFrom = now;
        m_promptRead = true;
        m_pool.promptRead(m_where, m_request.size);
        m_pool.paced(m_where, pace_kind::FirstEvent, static_cast<double>(between(m_attemptStart, now).count()), now);
    }
    if (m_pacedEvents++ == m_options.paceEvents) {
        const std::chrono::duration<double, std::milli> took = now - m_pacedFrom;
        m_pool.paced(m_where, pace_kind::NextEvent, took.count() / static_cast<double>(m_options.paceEvents), now);
        m_pacedEvents = 1;
        m_pacedFrom = now;
    }
    if (!m_streamBegun) {
        m_streamBegun = true;
        m_firstEvent = between(m_request.arrived, now);
        m_port.beginStream();
    } else {
        m_longestGap = std::max(m_longestGap, between(m_lastEventAt, now));
        if (m_pacedEvents > 1)
            m_usualGap += (between(m_lastEventAt, now) - m_usualGap) / gapsRemembered;
    }
    ++m_events;
    m_lastEventAt = now;
    m_openAsks = 0;
    m_askAt = now + m_options.askAfter * (1U << std::min(m_vainAsks, 3U));
    m_moveAt = now + m_options.moveAfter;
    const auto patience = std::chrono::duration_cast<milliseconds>(m_usualGap * m_options.checkAfterGaps);
    m_checkAt = now + std::max(m_options.checkAfter, patience);
    m_vainChecks = 0;
    m_port.forwardEvent(bytes);
}

void exchange::onStreamEnd(steady_time now)
{
    if (!m_attemptOpen || !m_answer)
        return;
    if (!m_streamBegun) {
        onAttemptFailed(attempt_failure::ConnectionLost, now);
        return;
    }
    for (const auto& part : m_where.parts)
        m_pool.succeeded(part.target, static_cast<double>(between(m_attemptStart, now).count()));
    closeAttempt();
    m_port.endStream();
    m_over = true;
    m_port.logEvent(event_code::RequestFinished,
        { { "request", m_request.id }, { "route", m_request.chosen->name }, { "outcome", "streamed" },
            { "events", std::to_string(m_events) }, { "attempts", std::to_string(m_tries) },
            { "tokens",
                std::to_string(static_cast<int>(m_request.size.promptTokens)) + ","
                    + std::to_string(static_cast<int>(m_request.size.answerTokens)) },
            { "first_ms", inMs(m_firstEvent) }, { "gap_ms", inMs(m_longestGap) },
            { "ms", inMs(between(m_request.arrived, now)) } });
}

void exchange::onAttemptFailed(attempt_failure how, steady_time now)
{
    if (!m_attemptOpen)
        return;
    const auto first = m_where.parts.front().target;
    const bool notReached = how == attempt_failure::ConnectFailed && !m_sent;
    const bool byMember = hasPath() && how == attempt_failure::ConnectionLost; // any member may have ended it
    if (byMember)
        m_pool.failed(first);
    else
        blame(first, notReached, now);
    closeAttempt();
    if (notReached) {
        m_ranAt.erase(first); // it has ended, or is cut off: it doesn't count any more
        tryNext({ ran_state::No, true, "no connection to " + text(first) }, now);
        return;
    }
    const bool garbled = how == attempt_failure::InvalidResponse;
    tryNext(
        { ran_state::Unknown, !garbled && !byMember, (garbled ? "garbled by " : "cut off by ") + text(first) }, now);
}

void exchange::onCallerGone(steady_time now)
{
    if (m_over)
        return;
    if (m_attemptOpen)
        closeAttempt();
    m_next.reset();
    m_over = true;
    m_port.logEvent(event_code::RequestFinished,
        { { "request", m_request.id }, { "route", m_request.chosen->name }, { "outcome", "caller_left" },
            { "events", std::to_string(m_events) }, { "attempts", std::to_string(m_tries) },
            { "ms", inMs(between(m_request.arrived, now)) } });
}

exchange::next_attempt exchange::findNext(const attempt_end& last, choice_bounds bounds, steady_time now)
{
    next_attempt next;
    next.why = whyNoRepeat(last, now);
    if (!next.why.empty())
        return next;
    next.ranAt = m_ranAt;
    // Targets that have ended don't count against the route's number; one that leaves still does.
    std::erase_if(next.ranAt, [this](const auto& id) { return m_pool.hasEnded(id); });
    if (last.ran != ran_state::No && !last.targetEnded)
        next.ranAt.insert(m_where.parts.front().target);
    // The route's number bounds the targets, not the attempts: what ran before may run there again.
    bounds.firstOnly.clear();
    if (next.ranAt.size() >= m_request.chosen->maxAttempts)
        bounds.firstOnly = next.ranAt;
    next.where = m_pool.select(m_request.service, bounds, now);
    // A stream that has begun waits a little instead: what refused it just now would refuse it again.
    if (!next.where && !bounds.excluded.empty() && !m_streamBegun) {
        // Better one that failed before than none: it may have been a moment's fault.
        bounds.excluded.clear();
        next.where = m_pool.select(m_request.service, bounds, now);
    }
    next.bounds = std::move(bounds);
    if (!next.where) {
        next.why = "no other target or path";
        return next;
    }
    const bool mayHaveRun = m_mayHaveRun || last.ran != ran_state::No;
    const bool arrived = last.ran != ran_state::No || !last.targetEnded;
    if (arrived && !m_budget.tryTake(!mayHaveRun, now)) {
        next.why = "the budget of repeats is spent: " + m_budget.describe(now);
        next.where.reset();
    }
    return next;
}

void exchange::tryNext(const attempt_end& last, steady_time now)
{
    noteLoss(last, now);
    goOn(last, now);
}

void exchange::goOn(const attempt_end& last, steady_time now)
{
    const auto next = findNext(last, m_bounds, now);
    m_mayHaveRun = m_mayHaveRun || last.ran != ran_state::No;
    if (next.where) {
        begin(next, now);
        return;
    }
    const steady_time again = now + m_options.pauseBetweenTries;
    const bool mayWait = m_streamBegun && m_lastEventId && m_request.mayRepeat() && again < m_request.deadline
        && again < m_lastEventAt + m_options.longestPause;
    if (!mayWait) {
        giveUp(last.reason + "; " + next.why, now);
        return;
    }
    m_paused = last;
    m_paused->ran = ran_state::No; // what ran before is noted already
    m_bounds.excluded.clear();
    m_goOnAt = again;
    scheduleWake(now);
}

bool exchange::move(const attempt_end& last, choice_bounds bounds, steady_time now)
{
    const auto next = findNext(last, std::move(bounds), now);
    if (!next.where) {
        noteKept(last, next.why);
        return false; // the open attempt may still go on by itself: that it is slow is no reason to end it
    }
    noteLoss(last, now);
    closeAttempt();
    m_mayHaveRun = m_mayHaveRun || last.ran != ran_state::No;
    begin(next, now);
    return true;
}

void exchange::noteKept(const attempt_end& last, const std::string& why)
{
    if (std::exchange(m_keptFor, last.reason) == last.reason)
        return;
    m_port.logEvent(event_code::AttemptKept,
        { { "request", m_request.id }, { "attempt", std::to_string(m_tries) }, { "because", last.reason },
            { "reason", why } });
}

void exchange::noteLoss(const attempt_end& last, steady_time now)
{
    m_port.logEvent(event_code::AttemptLost,
        { { "request", m_request.id }, { "attempt", std::to_string(m_tries) }, { "reason", last.reason },
            { "ran", std::string(nameOf(last.ran)) }, { "events", std::to_string(m_events) },
            { "first_event", m_promptRead ? "seen" : "none" }, { "open_ms", inMs(between(m_attemptStart, now)) },
            { "fingerprint", text(m_port.fingerprint()) } });
}

std::string exchange::whyNoRepeat(const attempt_end& last, steady_time now)
{
    const bool mayHaveRun = m_mayHaveRun || last.ran != ran_state::No;
    if (mayHaveRun && !m_request.mayRepeat())
        return "it may have run and must not be repeated";
    if (m_streamBegun && !m_lastEventId)
        return "the stream's events have no ids to go on from";
    if (m_tries >= (m_streamBegun ? m_options.mostTriesOnceBegun : m_options.mostTries))
        return "tried often enough";
    if (now + m_options.shortestUseful >= m_request.deadline)
        return "no time left";
    return {};
}

void exchange::open(const selection& where, steady_time now)
{
    m_where = where;
    m_answer.reset();
    m_sent = false;
    m_attemptOpen = true;
    m_openAsks = 0;
    m_vainAsks = 0;
    m_pacedEvents = 0;
    m_keptFor.clear();
    m_attemptStart = now;
    ++m_tries;
    m_moveAt = now + m_options.moveUnstartedAfter;
    m_askAt = now + m_options.askAfter;
    m_checkAt = now + m_options.checkUnstartedAfter;
    m_usualGap = milliseconds(0);
    m_vainChecks = 0;
    m_promptRead = false;
    m_pool.noteSent(m_where.parts.front().target, now);
    m_pool.began(m_where, m_request.size);
    m_port.logEvent(event_code::RouteChosen,
        { { "request", m_request.id }, { "route", m_request.chosen->name },
            { "version", std::to_string(m_request.documentVersion) }, { "attempt", std::to_string(m_tries) },
            { "chosen", describe(where) }, { "candidates", where.summary },
            { "left_ms", inMs(between(now, m_request.deadline)) } });
    scheduleWake(now);
    m_port.openAttempt(m_tries, m_where, m_lastEventId);
}

void exchange::closeAttempt()
{
    m_attemptOpen = false;
    m_pool.ended(m_where, m_request.size, m_promptRead);
    m_port.cancelAttempt();
}

void exchange::giveUp(const std::string& reason, steady_time now)
{
    if (m_mayHaveRun)
        finish(result_code::TargetFailed, ran_state::Unknown, reason, now);
    else
        finish(result_code::Busy, ran_state::No, reason, now);
}

void exchange::finish(result_code code, ran_state ran, const std::string& reason, steady_time now)
{
    m_over = true;
    const bool mayComeBack = code == result_code::Busy || code == result_code::NoTarget;
    if (mayComeBack)
        m_roomExpectedAt = m_pool.roomExpectedAt(m_request.service, now);
    m_port.logEvent(m_streamBegun || ran != ran_state::No ? event_code::RequestFinished : event_code::RouteRefused,
        { { "request", m_request.id }, { "route", m_request.chosen->name },
            { "outcome", m_streamBegun ? "broken_off" : "refused" }, { "code", std::to_string(static_cast<int>(code)) },
            { "ran", std::string(nameOf(ran)) }, { "reason", reason }, { "events", std::to_string(m_events) },
            { "attempts", std::to_string(m_tries) }, { "ready", std::to_string(m_pool.readyCount(m_request.service)) },
            { "room_in_ms", m_roomExpectedAt ? inMs(between(now, *m_roomExpectedAt)) : std::string() },
            { "ms", inMs(between(m_request.arrived, now)) } });
    if (m_streamBegun)
        m_port.abortStream();
    else
        m_port.sendError(code, ran, reason);
}

void exchange::blameFirst(steady_time now) { blame(m_where.parts.front().target, false, now); }

void exchange::blame(const registry::target_incarnation& target, bool dark, steady_time now)
{
    m_bounds.excluded.insert(target);
    if (dark)
        m_pool.wentDark(target, now);
    else
        m_pool.failed(target);
    m_port.logEvent(event_code::TargetAvoided,
        { { "request", m_request.id }, { "target", text(target) }, { "reason", dark ? "dark" : "failed" } });
}

std::string exchange::describe(const selection& where) const
{
    std::string described;
    for (const auto& part : where.parts) {
        if (!described.empty())
            described += ',';
        described += text(part.target);
        if (!part.layers.isEmpty())
            described += "=" + std::to_string(part.layers.first) + "-" + std::to_string(part.layers.end);
    }
    return described;
}

} // namespace buckthornrail::gateway
