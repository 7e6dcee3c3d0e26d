/// @file
/// @brief Rate limits, backoff and leaving of targets, and whether a target may be sent something now.
#include "buckthornrail/gateway/target_pool.hpp"

#include <algorithm>
#include <xxhash.h>

namespace buckthornrail::gateway {
namespace {

/// A limit that no gateway has seen confirmed for this time expires.
constexpr milliseconds limitLifetime { 60000 };
/// Minimum time between two announcements of an unchanged limit to the other gateways.
constexpr milliseconds announcementInterval { 1000 };
/// Consecutive responses without a limit that clear it: a single response that lacks it must not flood an overloaded
/// target.
constexpr std::uint32_t responsesToClear = 2;
/// A limit that wasn't confirmed for this time no longer makes its target cost more. The target is then tried again
/// within its limit, as only a response can show that the limit has been lifted.
constexpr milliseconds limitFreshness { 5000 };
/// Penalty of a rate-limited target, the same as for full memory: it is overloaded, and used where others cost more.
constexpr double limitedPenaltyMs = 160;
/// Callers that were refused while all targets were in backoff retry over this time after the first backoff ends.
constexpr milliseconds retrySpread { 500 };

std::uint64_t keyOf(const registry::target_incarnation& id) { return XXH3_64bits(id.id.data(), id.id.size()); }

} // namespace

std::string text(const std::optional<double>& perSecond) { return perSecond ? std::to_string(*perSecond) : "none"; }

std::optional<double> target_pool::perSecondOf(const advertised_limit& limit)
{
    return limit.limiter ? std::optional(limit.limiter->perSecond()) : std::nullopt;
}

limit_change target_pool::setLimit(const registry::target_incarnation& id, pool_target& target,
    std::optional<double> perSecond, steady_time confirmedAt, steady_time now)
{
    auto& limit = target.limit;
    limit_change change { id, std::nullopt, perSecond, milliseconds(0) };
    if (limit) {
        change.before = perSecondOf(*limit);
        change.beforeAge = between(limit->confirmedAt, now);
    } else {
        limit.emplace(advertised_limit { std::nullopt, confirmedAt, false, {}, 0 });
    }
    limit->confirmedAt = confirmedAt;
    limit->responsesWithoutLimit = 0;
    if (!perSecond) {
        limit->limiter.reset();
    } else if (!limit->limiter) {
        std::uniform_real_distribution<double> phase(0, 1);
        limit->limiter.emplace(*perSecond, keyOf(id), phase(m_random), m_share, now);
    } else if (change.hasChanged()) {
        limit->limiter->setRate(*perSecond, m_share, now);
    }
    return change;
}

std::optional<limit_change> target_pool::recordPushback(const registry::target_incarnation& id,
    const target_pushback& pushback, bool absenceMeansNone, steady_time sentAt, steady_time now)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end())
        return std::nullopt;
    if (pushback.retryAfter)
        found->second.backoffUntil = std::max(found->second.backoffUntil, now + *pushback.retryAfter);
    found->second.announcedLeaving = found->second.announcedLeaving || pushback.isLeaving;
    auto& limit = found->second.limit;
    if (!pushback.requestsPerSecond) {
        const bool reportsNoLimit = absenceMeansNone && pushback.unreadable.empty() && isLimited(found->second, now);
        // The response to a request sent before the limit was received may predate the limit.
        if (!reportsNoLimit || sentAt <= limit->confirmedAt || ++limit->responsesWithoutLimit < responsesToClear)
            return std::nullopt;
    }
    const auto change = setLimit(id, found->second, pushback.requestsPerSecond, now, now);
    auto& known = *found->second.limit;
    known.isUnannounced
        = known.isUnannounced || change.hasChanged() || (pushback.requestsPerSecond && now >= known.nextAnnouncementAt);
    return change.hasChanged() ? std::optional(change) : std::nullopt;
}

std::vector<limit_change> target_pool::mergeRemoteLimits(
    std::span<const registry::limit_report> reports, steady_time now)
{
    std::vector<limit_change> changes;
    for (const auto& report : reports) {
        const auto found = m_targets.find(report.target);
        const steady_time confirmedAt = now - milliseconds(report.ageMs);
        if (found == m_targets.end() || (found->second.limit && confirmedAt <= found->second.limit->confirmedAt))
            continue;
        const auto change = setLimit(report.target, found->second, report.perSecond, confirmedAt, now);
        if (change.hasChanged())
            changes.push_back(change);
    }
    return changes;
}

std::vector<registry::limit_report> target_pool::takeLimitReports(bool all, steady_time now)
{
    std::vector<registry::limit_report> reports;
    for (auto& [id, target] : m_targets) {
        auto& limit = target.limit;
        if (!limit || (!limit->isUnannounced && !all) || now >= limit->confirmedAt + limitLifetime)
            continue;
        reports.push_back(
            { id, perSecondOf(*limit), static_cast<std::uint32_t>(between(limit->confirmedAt, now).count()) });
        limit->isUnannounced = false;
        limit->nextAnnouncementAt = now + announcementInterval;
    }
    return reports;
}

void target_pool::setShare(const gateway_share& share, steady_time now)
{
    if (std::exchange(m_share, share) == share)
        return;
    for (auto& [id, target] : m_targets) {
        if (target.limit && target.limit->limiter)
            target.limit->limiter->setShare(share, now);
    }
}

std::vector<registry::target_incarnation> target_pool::unreportedLeaving() const
{
    std::vector<registry::target_incarnation> found;
    for (const auto& [id, target] : m_targets) {
        if (target.announcedLeaving && acceptsWork(target.record))
            found.push_back(id);
    }
    return found;
}

std::vector<restricted_target> target_pool::restrictedTargets(steady_time now) const
{
    std::vector<restricted_target> found;
    for (const auto& [id, target] : m_targets) {
        restricted_target restricted { id, std::nullopt, milliseconds(0), milliseconds(0), false };
        if (isLimited(target, now)) {
            restricted.perSecond = target.limit->limiter->perSecond();
            restricted.limitAge = between(target.limit->confirmedAt, now);
        }
        restricted.backoffLeft = std::max(milliseconds(0), between(now, target.backoffUntil));
        restricted.isLeaving = target.announcedLeaving || target.record.state == registry::target_state::Draining;
        if (restricted.perSecond || restricted.isLeaving || restricted.backoffLeft > milliseconds(0))
            found.push_back(restricted);
    }
    return found;
}

std::size_t target_pool::limitedCount(steady_time now) const
{
    return static_cast<std::size_t>(std::count_if(
        m_targets.begin(), m_targets.end(), [now](const auto& item) { return isLimited(item.second, now); }));
}

bool target_pool::isLimited(const pool_target& target, steady_time now)
{
    return target.limit && target.limit->limiter && now < target.limit->confirmedAt + limitLifetime;
}

bool target_pool::acceptsNow(const pool_target& target, steady_time now)
{
    return !target.announcedLeaving && now >= target.backoffUntil
        && (!isLimited(target, now) || target.limit->limiter->maySend(now));
}

bool target_pool::maySend(const registry::target_incarnation& id, steady_time now) const
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() || acceptsNow(found->second, now);
}

void target_pool::recordSent(const registry::target_incarnation& id, steady_time now)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end() && isLimited(found->second, now))
        found->second.limit->limiter->recordSent(now);
}

double target_pool::limitPenaltyMs(const pool_target& target, steady_time now)
{
    return isLimited(target, now) && now < target.limit->confirmedAt + limitFreshness ? limitedPenaltyMs : 0;
}

std::optional<steady_time> target_pool::earliestSendAt(const std::string& service, steady_time now)
{
    const auto engine = m_engines.find(service);
    const bool isLayered = engine != m_engines.end() && engine->second.layers > 0;
    std::optional<steady_time> earliest;
    steady_time::duration spread {};
    for (const auto* target : usableTargets(service, {})) {
        const auto& layers = target->record.layers;
        if (isLayered && (layers.isEmpty() || layers.first > 0))
            continue; // can't be the first part of a path
        if (acceptsNow(*target, now))
            return std::nullopt;
        const bool limited = isLimited(*target, now);
        const auto sendAt = std::max(target->backoffUntil, limited ? target->limit->limiter->nextSendAt(now) : now);
        if (!earliest || sendAt < *earliest) {
            earliest = sendAt;
            spread = limited ? target->limit->limiter->interval() : retrySpread;
        }
    }
    if (!earliest)
        return std::nullopt;
    std::uniform_real_distribution<double> jitter(0, 1);
    return *earliest + std::chrono::duration_cast<steady_time::duration>(spread * jitter(m_random));
}

std::string target_pool::describeLimit(const pool_target& first, steady_time now)
{
    if (!isLimited(first, now))
        return {};
    return ", first target limited to " + std::to_string(first.limit->limiter->perSecond()) + " requests/s, confirmed "
        + std::to_string(between(first.limit->confirmedAt, now).count()) + " ms ago";
}

} // namespace buckthornrail::gateway
