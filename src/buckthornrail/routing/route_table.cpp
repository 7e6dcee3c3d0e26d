/// @file
/// @brief Filtering of targets, estimates and per-target statistics.
#include "buckthornrail/routing/route_table.hpp"

#include <algorithm>
#include <map>
#include <xxhash.h>

namespace buckthornrail::routing {
namespace {

constexpr double defaultMsPerUnit = 10; ///< used until any target has a sample
constexpr double remoteDomainMs = 1; ///< added to the estimate of a target in another failure domain
constexpr std::uint32_t maxBreakerDoublings = 4; ///< of the breaker's open period
constexpr std::size_t maxRecentPrefixes = 4096;
constexpr std::size_t affinityPrefixBytes = 256; ///< prompt bytes that are hashed for affinity

/// Average time per work unit of the targets with the same accelerator, the estimate for a target without a sample.
/// (Prediction from groups of similar sessions, after "Big Data Differentiators"; see docs/design/routing.md.)
class group_averages {
public:
    void add(const std::string& accelerator, double msPerUnit)
    {
        if (msPerUnit <= 0)
            return;
        auto& group = m_groups[accelerator];
        group.first += msPerUnit;
        group.second += 1;
        m_all.first += msPerUnit;
        m_all.second += 1;
    }

    [[nodiscard]] double averageFor(const std::string& accelerator) const
    {
        const auto found = m_groups.find(accelerator);
        const auto& group = found == m_groups.end() ? m_all : found->second;
        return group.second > 0 ? group.first / group.second : defaultMsPerUnit;
    }

private:
    /// Sum and count. The keys refer to names in the target records, which outlive this object.
    std::map<std::string_view, std::pair<double, double>> m_groups;
    std::pair<double, double> m_all { 0, 0 };
};

bool acceptsWork(const membership::instance_record& record)
{
    return record.role == membership::instance_role::Sidecar && record.state == membership::instance_state::Ready
        && !record.drainRequested;
}

double updateAverage(double average, double sample, double smoothing)
{
    return average <= 0 ? sample : average + smoothing * (sample - average);
}

} // namespace

std::uint64_t hashPrefix(const std::string& workspace, const std::string& prompt)
{
    const std::uint64_t seed = XXH64(workspace.data(), workspace.size(), 0);
    return XXH64(prompt.data(), std::min(prompt.size(), affinityPrefixBytes), seed) | 1U;
}

std::optional<std::string> drawShare(const std::vector<configuration::share>& shares, std::uint32_t draw)
{
    for (const auto& share : shares) {
        if (draw < share.percent)
            return share.name;
        draw -= share.percent;
    }
    return std::nullopt;
}

route_table::route_table(route_options options, std::uint64_t seed)
    : m_options(std::move(options))
    , m_random(seed)
    , m_strategy(makeStrategy(m_options.strategy))
    , m_recentPrefixes(maxRecentPrefixes)
{
}

void route_table::update(const membership::instance_record& record)
{
    if (record.role != membership::instance_role::Sidecar)
        return;
    const bool isGone
        = record.state == membership::instance_state::Left || record.state == membership::instance_state::Lost;
    if (isGone) {
        remove(record.id);
        return;
    }
    auto& slot = m_targets[record.id];
    if (slot && slot->record.incarnation != record.incarnation) {
        removeFromIndex(*slot);
        slot.reset();
    }
    if (!slot) {
        slot = std::make_unique<target_state>();
        slot->identityHash = XXH64(record.id.data(), record.id.size(), 0);
    } else {
        removeFromIndex(*slot);
    }
    slot->record = record;
    if (record.target.model.empty())
        m_byService[record.target.service].push_back(slot.get());
    else
        m_byModel[record.target.model].push_back(slot.get());
}

void route_table::remove(const instance_id& id)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end())
        return;
    removeFromIndex(*found->second);
    m_targets.erase(found);
}

tl::expected<route_choice, failure> route_table::choose(const route_query& query, steady_time now)
{
    auto targets = eligibleTargets(query, now);
    restrictToPool(targets, query);
    if (targets.empty())
        return tl::make_unexpected(failure { result_code::NoTarget, "no ready target for this model or service" });
    group_averages averages;
    for (const auto* target : allTargetsFor(query))
        averages.add(target->record.target.accelerator, target->msPerUnit);
    const double maxWaitMs = std::chrono::duration<double, std::milli>(query.startDeadline - now).count();
    // A prefix not seen before is in no target's cache; affinity would only divert the request from the fastest target.
    const bool isRecurring = query.prefixHash != 0 && m_recentPrefixes.testAndInsert(query.prefixHash);
    std::vector<candidate> candidates;
    std::vector<target_state*> candidateTargets;
    for (auto* target : targets) {
        candidate estimated = estimate(*target, query, averages.averageFor(target->record.target.accelerator), now);
        if (!isRecurring)
            estimated.affinity = 0;
        if (estimated.waitMs > maxWaitMs)
            continue;
        candidates.push_back(estimated);
        candidateTargets.push_back(target);
    }
    if (candidates.empty())
        return tl::make_unexpected(failure { result_code::Busy, "no target could start before the deadline" });
    const selection picked = m_strategy->select(candidates, m_random);
    const auto& target = *candidateTargets[picked.index];
    return route_choice { target.record.id, target.record.incarnation, candidates.size(),
        candidates[picked.index].finishMs, picked.reason };
}

bool route_table::hasUnsplitTarget(const route_query& query, steady_time now) const
{
    return !eligibleTargets(query, now).empty();
}

std::vector<execution::stage_candidate> route_table::stageCandidates(const route_query& query, steady_time now) const
{
    std::vector<execution::stage_candidate> result;
    const auto found = m_byModel.find(query.model);
    if (found == m_byModel.end())
        return result;
    for (const auto* target : found->second) {
        const auto& record = target->record;
        const bool fits = acceptsWork(record) && record.target.kind == membership::target_kind::LayerRange
            && record.target.version == query.version && !query.excluded.contains(record.id);
        if (!fits || !breakerAllows(*target, now))
            continue;
        execution::stage_candidate stageCandidate;
        stageCandidate.stage = { record.id, record.linkAddress, record.incarnation, record.target.version,
            record.target.firstLayer, record.target.endLayer };
        stageCandidate.cost = estimate(*target, query, defaultMsPerUnit, now).finishMs;
        result.push_back(std::move(stageCandidate));
    }
    return result;
}

void route_table::attemptOffered(const instance_id& id)
{
    auto* target = findState(id);
    if (target == nullptr)
        return;
    ++target->ownInFlight;
    if (target->consecutiveFailures >= m_options.breakerThreshold)
        target->isTrialInFlight = true;
}

void route_table::attemptReleased(const instance_id& id)
{
    auto* target = findState(id);
    if (target == nullptr)
        return;
    target->isTrialInFlight = false;
    if (target->ownInFlight > 0)
        --target->ownInFlight;
}

void route_table::attemptSucceeded(const instance_id& id, double elapsedMs, double work)
{
    attemptReleased(id);
    auto* target = findState(id);
    if (target == nullptr)
        return;
    target->consecutiveFailures = 0;
    if (work > 0)
        target->msPerUnit = updateAverage(target->msPerUnit, elapsedMs / work, m_options.smoothing);
}

void route_table::attemptFailed(const instance_id& id, steady_time now)
{
    attemptReleased(id);
    auto* target = findState(id);
    if (target == nullptr)
        return;
    ++target->consecutiveFailures;
    // The open period doubles with each failed trial, so that a target that keeps failing affects few requests.
    const std::uint32_t overThreshold
        = target->consecutiveFailures - std::min(target->consecutiveFailures, m_options.breakerThreshold);
    target->breakerOpenUntil = now + m_options.breakerOpenPeriod * (1 << std::min(overThreshold, maxBreakerDoublings));
}

void route_table::applyLoadReport(const dispatch::load_report& report, steady_time now)
{
    auto* target = findState(report.instance);
    if (target == nullptr)
        return;
    const std::uint32_t total = report.running + report.queued;
    target->otherEntriesInFlight = total > target->ownInFlight ? total - target->ownInFlight : 0;
    target->reportDeadline = now + m_options.reportLifetime;
    target->record.target.slots = std::max<std::uint32_t>(report.slots, 1);
}

const membership::instance_record* route_table::find(const instance_id& id) const
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : &found->second->record;
}

std::vector<instance_id> route_table::ids() const
{
    std::vector<instance_id> all;
    all.reserve(m_targets.size());
    for (const auto& [id, target] : m_targets)
        all.push_back(id);
    return all;
}

std::set<std::string> route_table::readyVersions(const std::string& model) const
{
    std::set<std::string> versions;
    const auto found = m_byModel.find(model);
    if (found == m_byModel.end())
        return versions;
    for (const auto* target : found->second) {
        if (acceptsWork(target->record))
            versions.insert(target->record.target.version);
    }
    return versions;
}

bool route_table::breakerAllows(const target_state& target, steady_time now) const
{
    if (target.consecutiveFailures < m_options.breakerThreshold)
        return true;
    return !target.isTrialInFlight && now >= target.breakerOpenUntil;
}

candidate route_table::estimate(
    const target_state& target, const route_query& query, double fallbackMsPerUnit, steady_time now) const
{
    candidate result;
    result.slots = std::max<std::uint32_t>(target.record.target.slots, 1);
    result.outstanding = target.ownInFlight + (now < target.reportDeadline ? target.otherEntriesInFlight : 0);
    const double msPerUnit = target.msPerUnit > 0 ? target.msPerUnit : fallbackMsPerUnit;
    const double serviceMs = msPerUnit * query.work;
    const double ahead = result.outstanding >= result.slots ? result.outstanding - result.slots + 1.0 : 0.0;
    result.waitMs = ahead * serviceMs / result.slots;
    const bool isRemote = target.record.failureDomain != m_options.failureDomain;
    result.finishMs = result.waitMs + serviceMs + (isRemote ? remoteDomainMs : 0);
    result.rate = result.slots / std::max(msPerUnit, 1e-3);
    if (query.prefixHash != 0)
        result.affinity = XXH64(&target.identityHash, sizeof target.identityHash, query.prefixHash) | 1U;
    return result;
}

const std::vector<route_table::target_state*>& route_table::allTargetsFor(const route_query& query) const
{
    static const std::vector<target_state*> none;
    const auto& index = query.model.empty() ? m_byService : m_byModel;
    const auto found = index.find(query.model.empty() ? query.service : query.model);
    return found == index.end() ? none : found->second;
}

std::vector<route_table::target_state*> route_table::eligibleTargets(const route_query& query, steady_time now) const
{
    std::vector<target_state*> result;
    const auto& allTargets = allTargetsFor(query);
    result.reserve(allTargets.size());
    for (auto* target : allTargets) {
        const auto& description = target->record.target;
        if (!acceptsWork(target->record) || description.kind == membership::target_kind::LayerRange)
            continue;
        if (!query.model.empty() && description.version != query.version)
            continue;
        if (query.excluded.contains(target->record.id) || !breakerAllows(*target, now))
            continue;
        result.push_back(target);
    }
    return result;
}

void route_table::restrictToPool(std::vector<target_state*>& targets, const route_query& query)
{
    if (query.pools.empty())
        return;
    std::set<std::string> present;
    for (const auto* target : targets)
        present.insert(target->record.target.pool);
    // The share of a pool without an eligible target is distributed over the others; a pool without a share gets none.
    std::vector<configuration::share> usable;
    std::uint32_t total = 0;
    for (const auto& pool : query.pools) {
        if (!present.contains(pool.name) || pool.percent == 0)
            continue;
        usable.push_back(pool);
        total += pool.percent;
    }
    if (total == 0) {
        targets.clear();
        return;
    }
    const auto drawn = drawShare(usable, std::uniform_int_distribution<std::uint32_t>(0, total - 1)(m_random));
    std::erase_if(targets, [&](const target_state* target) { return target->record.target.pool != *drawn; });
}

void route_table::removeFromIndex(const target_state& target)
{
    const auto& description = target.record.target;
    auto& list = description.model.empty() ? m_byService[description.service] : m_byModel[description.model];
    std::erase(list, &target);
}

route_table::target_state* route_table::findState(const instance_id& id)
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : found->second.get();
}

} // namespace buckthornrail::routing
