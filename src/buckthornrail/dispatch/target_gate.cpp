/// @file
/// @brief Admission, fair queueing and expiry of attempts.
#include "buckthornrail/dispatch/target_gate.hpp"

#include <algorithm>

namespace buckthornrail::dispatch {

target_gate::target_gate(gate_options options, steady_time now)
    : m_options(options)
    , m_leaseDeadline(now)
{
}

std::vector<gate_effect> target_gate::offer(const attempt_offer& offer, link_number linkNumber, steady_time now)
{
    std::vector<gate_effect> effects;
    const auto known = m_records.find(offer.attempt);
    if (known != m_records.end()) {
        // A duplicate offer never starts a second time. The first reply remains valid; only a refusal is sent again.
        if (known->second.state == gate_state::Refused)
            effects.emplace_back(
                gate_refuse { offer.attempt, linkNumber, { result_code::Revoked, "already refused" } });
        return effects;
    }
    if (offer.incarnation != m_options.incarnation) {
        // Needs no record: an attempt for another incarnation never starts here.
        effects.emplace_back(gate_refuse { offer.attempt, linkNumber, { result_code::WrongIncarnation, "" } });
        return effects;
    }
    attempt_record record;
    record.linkNumber = linkNumber;
    record.nonIdempotent = offer.nonIdempotent;
    record.workspace = offer.workspace;
    record.weight = std::max<std::uint32_t>(offer.weight, 1);
    record.priority = offer.priority;
    record.startDeadline = now + milliseconds(offer.startWithinMs);
    record.finishDeadline = now + milliseconds(offer.finishWithinMs);
    std::optional<failure> refusal = refusalFor(offer, now);
    if (!refusal && running() >= m_options.slots && m_queue.size() >= m_options.queueLimit) {
        const auto victim = findEvictionVictim(record);
        if (victim == m_queue.end()) {
            refusal = failure { result_code::QueueFull, "" };
        } else {
            const attempt_id evicted = *victim;
            refuse(evicted, { result_code::QueueFull, "evicted from the queue by an attempt with precedence" }, now,
                effects);
        }
    }
    auto& inserted = m_records.emplace(offer.attempt, std::move(record)).first->second;
    if (refusal) {
        setFinalState(offer.attempt, inserted, gate_state::Refused, now);
        effects.emplace_back(gate_refuse { offer.attempt, linkNumber, *refusal });
        return effects;
    }
    m_queue.push_back(offer.attempt);
    effects.emplace_back(gate_accept { offer.attempt, linkNumber });
    startQueued(now, effects);
    return effects;
}

revoke_outcome target_gate::revoke(const attempt_revoke& revoke, steady_time now, std::vector<gate_effect>& effects)
{
    if (revoke.incarnation != m_options.incarnation)
        return revoke_outcome::Unknown;
    const auto found = m_records.find(revoke.attempt);
    if (found == m_records.end()) {
        // The offer may still be in flight: the tombstone makes it fail.
        setFinalState(revoke.attempt, m_records[revoke.attempt], gate_state::Refused, now);
        return revoke_outcome::NotStarted;
    }
    auto& record = found->second;
    if (record.state == gate_state::Refused)
        return revoke_outcome::NotStarted;
    if (record.state == gate_state::Queued) {
        removeFromQueue(revoke.attempt);
        setFinalState(revoke.attempt, record, gate_state::Refused, now);
        return revoke_outcome::NotStarted;
    }
    if (record.state == gate_state::Started && revoke.cancelStarted && !record.nonIdempotent && !record.cancelled) {
        record.cancelled = true;
        effects.emplace_back(gate_cancel { revoke.attempt });
    }
    return revoke_outcome::Started;
}

std::vector<gate_effect> target_gate::finished(const attempt_id& attempt, steady_time now)
{
    std::vector<gate_effect> effects;
    const auto found = m_records.find(attempt);
    if (found == m_records.end() || found->second.state != gate_state::Started)
        return effects;
    m_started.erase(attempt);
    setFinalState(attempt, found->second, gate_state::Finished, now);
    startQueued(now, effects);
    return effects;
}

std::vector<gate_effect> target_gate::notStarted(const attempt_id& attempt, failure why, steady_time now)
{
    std::vector<gate_effect> effects;
    const auto found = m_records.find(attempt);
    if (found == m_records.end() || found->second.state != gate_state::Started)
        return effects;
    m_started.erase(attempt);
    refuse(attempt, std::move(why), now, effects);
    startQueued(now, effects);
    return effects;
}

std::vector<gate_effect> target_gate::linkLost(link_number linkNumber, steady_time now)
{
    std::vector<gate_effect> effects;
    std::vector<attempt_id> queuedAttempts;
    for (const auto& attempt : m_queue) {
        if (m_records.at(attempt).linkNumber == linkNumber)
            queuedAttempts.push_back(attempt);
    }
    for (const auto& attempt : m_started) {
        auto& record = m_records.at(attempt);
        if (record.linkNumber != linkNumber || record.nonIdempotent || record.cancelled)
            continue;
        record.cancelled = true;
        effects.emplace_back(gate_cancel { attempt });
    }
    for (const auto& attempt : queuedAttempts)
        refuse(attempt, { result_code::Cancelled, "the link that the offer came over has closed" }, now, effects);
    return effects;
}

std::vector<gate_effect> target_gate::tick(steady_time now)
{
    std::vector<gate_effect> effects;
    std::vector<attempt_id> late;
    for (const auto& attempt : m_queue) {
        if (now >= m_records.at(attempt).startDeadline)
            late.push_back(attempt);
    }
    for (const auto& attempt : late)
        refuse(attempt, { result_code::StartDeadlinePassed, "" }, now, effects);
    for (const auto& attempt : m_started) {
        auto& record = m_records.at(attempt);
        if (record.cancelled || now < record.finishDeadline)
            continue;
        record.cancelled = true;
        effects.emplace_back(gate_cancel { attempt });
    }
    for (auto* ended : { &m_ended, &m_endedNonIdempotent }) {
        while (!ended->empty() && now >= ended->front().first) {
            m_records.erase(ended->front().second);
            m_expired.push_back(ended->front().second);
            ended->pop_front();
        }
    }
    startQueued(now, effects);
    return effects;
}

void target_gate::renewConfiguration(configuration_version version, steady_time leaseDeadline)
{
    if (version < m_configuration)
        return;
    m_configuration = version;
    m_leaseDeadline = std::max(m_leaseDeadline, leaseDeadline);
}

std::optional<gate_state> target_gate::stateOf(const attempt_id& attempt) const
{
    const auto found = m_records.find(attempt);
    if (found == m_records.end())
        return std::nullopt;
    return found->second.state;
}

link_number target_gate::linkNumberOf(const attempt_id& attempt) const
{
    const auto found = m_records.find(attempt);
    return found == m_records.end() ? 0 : found->second.linkNumber;
}

std::optional<failure> target_gate::refusalFor(const attempt_offer& offer, steady_time now) const
{
    if (m_draining)
        return failure { result_code::Draining, "" };
    if (m_configuration == 0 || now >= m_leaseDeadline)
        return failure { result_code::LeaseExpired, "" };
    if (offer.configuration < m_configuration)
        return failure { result_code::StaleConfiguration,
            "the sidecar has version " + std::to_string(m_configuration) };
    if (!m_ready)
        return failure { result_code::TargetNotReady, "" };
    if (offer.startWithinMs == 0)
        return failure { result_code::StartDeadlinePassed, "" };
    return std::nullopt;
}

double target_gate::normalizedService(const attempt_record& record) const
{
    const auto found = m_normalizedService.find(record.workspace);
    return std::max(found == m_normalizedService.end() ? 0 : found->second, m_minNormalizedService);
}

std::deque<attempt_id>::iterator target_gate::nextToStart()
{
    // By priority, then by normalized service of the workspace, then by order of arrival.
    auto best = m_queue.end();
    for (auto it = m_queue.begin(); it != m_queue.end(); ++it) {
        if (best == m_queue.end()) {
            best = it;
            continue;
        }
        const auto& candidate = m_records.at(*it);
        const auto& leading = m_records.at(*best);
        if (candidate.priority != leading.priority) {
            if (candidate.priority > leading.priority)
                best = it;
            continue;
        }
        if (normalizedService(candidate) < normalizedService(leading))
            best = it;
    }
    return best;
}

std::deque<attempt_id>::iterator target_gate::findEvictionVictim(const attempt_record& newRecord)
{
    std::map<std::string, double> queuedByWorkspace; // number of attempts divided by the weight
    for (const auto& attempt : m_queue) {
        const auto& record = m_records.at(attempt);
        queuedByWorkspace[record.workspace] += 1.0 / record.weight;
    }
    const double ownQueued = queuedByWorkspace[newRecord.workspace] + 1.0 / newRecord.weight;
    auto victim = m_queue.end();
    for (auto it = m_queue.begin(); it != m_queue.end(); ++it) {
        const auto& record = m_records.at(*it);
        const bool isLower = record.priority < newRecord.priority;
        const bool isOver = record.priority == newRecord.priority && queuedByWorkspace[record.workspace] > ownQueued;
        if (!isLower && !isOver)
            continue;
        if (victim == m_queue.end()) {
            victim = it;
            continue;
        }
        const auto& worst = m_records.at(*victim);
        const auto key = std::pair { record.priority, -queuedByWorkspace[record.workspace] };
        const auto worstKey = std::pair { worst.priority, -queuedByWorkspace[worst.workspace] };
        if (key <= worstKey) // the last to arrive among equals
            victim = it;
    }
    return victim;
}

void target_gate::startQueued(steady_time now, std::vector<gate_effect>& effects)
{
    while (running() < m_options.slots && !m_queue.empty()) {
        const auto next = nextToStart();
        const attempt_id attempt = *next;
        auto& record = m_records.at(attempt);
        if (now >= record.startDeadline) {
            refuse(attempt, { result_code::StartDeadlinePassed, "" }, now, effects);
            continue;
        }
        m_queue.erase(next);
        const double served = normalizedService(record);
        m_minNormalizedService = std::max(m_minNormalizedService, served - 1.0);
        m_normalizedService[record.workspace] = served + 1.0 / record.weight;
        record.state = gate_state::Started;
        m_started.insert(attempt);
        effects.emplace_back(gate_start { attempt, record.linkNumber });
    }
    if (m_queue.empty() && m_started.empty()) {
        m_normalizedService.clear();
        m_minNormalizedService = 0;
    }
}

void target_gate::refuse(const attempt_id& attempt, failure why, steady_time now, std::vector<gate_effect>& effects)
{
    auto& record = m_records.at(attempt);
    effects.emplace_back(gate_refuse { attempt, record.linkNumber, std::move(why) });
    removeFromQueue(attempt);
    setFinalState(attempt, record, gate_state::Refused, now);
}

void target_gate::removeFromQueue(const attempt_id& attempt) { std::erase(m_queue, attempt); }

void target_gate::setFinalState(const attempt_id& attempt, attempt_record& record, gate_state state, steady_time now)
{
    record.state = state;
    auto& ended = record.nonIdempotent ? m_endedNonIdempotent : m_ended;
    const auto retention = record.nonIdempotent ? m_options.nonIdempotentRetention : m_options.recordRetention;
    ended.emplace_back(now + retention, attempt);
}

} // namespace buckthornrail::dispatch
