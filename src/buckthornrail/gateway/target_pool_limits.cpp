/// @file
/// @brief What targets name of how they want to be treated, and whether something may be sent to them now.
#include "buckthornrail/gateway/target_pool.hpp"

#include <algorithm>
#include <xxhash.h>

namespace buckthornrail::gateway {
namespace {

/// What nobody has heard again for so long holds no more.
constexpr milliseconds limitsKeep { 60000 };
/// Other gateways are told of a limit that is heard again at most so often.
constexpr milliseconds renewal { 1000 };
/// So many answers in a row without a limit tell that it is over: a target in need isn't flooded for one that lacks it.
constexpr std::uint32_t answersToEnd = 2;
/// A limit that wasn't heard again for so long makes its target no dearer: it is tried again, at the pace that it
/// named, as only an answer tells that the limit is over.
constexpr milliseconds freshTime { 5000 };
/// A target with a limit costs as much as one whose memory is full: it is in need, and is used where others cost more.
constexpr double limitedMs = 160;
/// Callers that were refused while all targets rest come back over so long a time after the first rest is over.
constexpr milliseconds restSpread { 500 };

std::uint64_t keyOf(const registry::target_incarnation& id) { return XXH3_64bits(id.id.data(), id.id.size()); }

} // namespace

std::string text(const std::optional<double>& perSecond) { return perSecond ? std::to_string(*perSecond) : "none"; }

std::optional<double> target_pool::perSecondOf(const named_limit& limit)
{
    return limit.pacing ? std::optional(limit.pacing->perSecond()) : std::nullopt;
}

limit_change target_pool::setLimit(const registry::target_incarnation& id, pool_target& target,
    std::optional<double> perSecond, steady_time heardAt, steady_time now)
{
    auto& limit = target.limit;
    limit_change change { id, std::nullopt, perSecond, milliseconds(0) };
    if (limit) {
        change.before = perSecondOf(*limit);
        change.beforeAge = between(limit->heardAt, now);
    } else {
        limit.emplace(named_limit { std::nullopt, heardAt, false, {}, 0 });
    }
    limit->heardAt = heardAt;
    limit->answersWithout = 0;
    if (!perSecond) {
        limit->pacing.reset();
    } else if (!limit->pacing) {
        std::uniform_real_distribution<double> phase(0, 1);
        limit->pacing.emplace(*perSecond, keyOf(id), phase(m_random), m_share, now);
    } else if (change.isOne()) {
        limit->pacing->change(*perSecond, m_share, now);
    }
    return change;
}

std::optional<limit_change> target_pool::heard(const registry::target_incarnation& id, const target_pushback& said,
    bool namesNone, steady_time sentAt, steady_time now)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end())
        return std::nullopt;
    if (said.rest)
        found->second.restUntil = std::max(found->second.restUntil, now + *said.rest);
    found->second.saysLeaving = found->second.saysLeaving || said.isLeaving;
    auto& limit = found->second.limit;
    if (!said.requestsPerSecond) {
        const bool saysNone = namesNone && said.unreadable.empty() && isLimited(found->second, now);
        // What was sent before it was heard may have been answered before it was named.
        if (!saysNone || sentAt <= limit->heardAt || ++limit->answersWithout < answersToEnd)
            return std::nullopt;
    }
    const auto change = setLimit(id, found->second, said.requestsPerSecond, now, now);
    auto& known = *found->second.limit;
    known.isNews = known.isNews || change.isOne() || (said.requestsPerSecond && now >= known.tellAt);
    return change.isOne() ? std::optional(change) : std::nullopt;
}

std::vector<limit_change> target_pool::toldLimits(std::span<const registry::limit_report> news, steady_time now)
{
    std::vector<limit_change> changes;
    for (const auto& one : news) {
        const auto found = m_targets.find(one.target);
        const steady_time heardAt = now - milliseconds(one.ageMs);
        if (found == m_targets.end() || (found->second.limit && heardAt <= found->second.limit->heardAt))
            continue;
        const auto change = setLimit(one.target, found->second, one.perSecond, heardAt, now);
        if (change.isOne())
            changes.push_back(change);
    }
    return changes;
}

std::vector<registry::limit_report> target_pool::takeLimitNews(bool all, steady_time now)
{
    std::vector<registry::limit_report> news;
    for (auto& [id, target] : m_targets) {
        auto& limit = target.limit;
        if (!limit || (!limit->isNews && !all) || now >= limit->heardAt + limitsKeep)
            continue;
        news.push_back({ id, perSecondOf(*limit), static_cast<std::uint32_t>(between(limit->heardAt, now).count()) });
        limit->isNews = false;
        limit->tellAt = now + renewal;
    }
    return news;
}

void target_pool::setShare(const gateway_share& share, steady_time now)
{
    if (std::exchange(m_share, share) == share)
        return;
    for (auto& [id, target] : m_targets) {
        if (target.limit && target.limit->pacing)
            target.limit->pacing->shareChanged(share, now);
    }
}

std::vector<registry::target_incarnation> target_pool::leavingUnknown() const
{
    std::vector<registry::target_incarnation> found;
    for (const auto& [id, target] : m_targets) {
        if (target.saysLeaving && isOpen(target.record))
            found.push_back(id);
    }
    return found;
}

std::vector<held_target> target_pool::heldTargets(steady_time now) const
{
    std::vector<held_target> found;
    for (const auto& [id, target] : m_targets) {
        held_target held { id, std::nullopt, milliseconds(0), milliseconds(0), false };
        if (isLimited(target, now)) {
            held.perSecond = target.limit->pacing->perSecond();
            held.heardAgo = between(target.limit->heardAt, now);
        }
        held.restLeft = std::max(milliseconds(0), between(now, target.restUntil));
        held.isLeaving = target.saysLeaving || target.record.state == registry::target_state::Draining;
        if (held.perSecond || held.isLeaving || held.restLeft > milliseconds(0))
            found.push_back(held);
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
    return target.limit && target.limit->pacing && now < target.limit->heardAt + limitsKeep;
}

bool target_pool::takesNow(const pool_target& target, steady_time now)
{
    return !target.saysLeaving && now >= target.restUntil
        && (!isLimited(target, now) || target.limit->pacing->maySend(now));
}

bool target_pool::maySend(const registry::target_incarnation& id, steady_time now) const
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() || takesNow(found->second, now);
}

void target_pool::noteSent(const registry::target_incarnation& id, steady_time now)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end() && isLimited(found->second, now))
        found->second.limit->pacing->sent(now);
}

double target_pool::limitCostMs(const pool_target& target, steady_time now)
{
    return isLimited(target, now) && now < target.limit->heardAt + freshTime ? limitedMs : 0;
}

std::optional<steady_time> target_pool::roomExpectedAt(const std::string& service, steady_time now)
{
    const auto engine = m_engines.find(service);
    const bool isLayered = engine != m_engines.end() && engine->second.layers > 0;
    std::optional<steady_time> soonest;
    steady_time::duration spread {};
    for (const auto* target : usable(service, {})) {
        const auto& layers = target->record.layers;
        if (isLayered && (layers.isEmpty() || layers.first > 0))
            continue; // no path begins there
        if (takesNow(*target, now))
            return std::nullopt;
        const bool limited = isLimited(*target, now);
        const auto at = std::max(target->restUntil, limited ? target->limit->pacing->roomAt(now) : now);
        if (!soonest || at < *soonest) {
            soonest = at;
            spread = limited ? target->limit->pacing->interval() : restSpread;
        }
    }
    if (!soonest)
        return std::nullopt;
    std::uniform_real_distribution<double> part(0, 1);
    return *soonest + std::chrono::duration_cast<steady_time::duration>(spread * part(m_random));
}

std::string target_pool::describeLimit(const pool_target& first, steady_time now)
{
    if (!isLimited(first, now))
        return {};
    return ", first takes " + std::to_string(first.limit->pacing->perSecond()) + " a second, heard "
        + std::to_string(between(first.limit->heardAt, now).count()) + " ms ago";
}

} // namespace buckthornrail::gateway
