/// @file
/// @brief Selection of targets, and the failure and latency history behind it.
#include "buckthornrail/gateway/target_pool.hpp"

#include <algorithm>
#include <cmath>

namespace buckthornrail::gateway {
namespace {

constexpr double bytesPerMb = 1e6;
/// Weight of a new sample in a target's moving averages: about the last ten samples count.
constexpr double newestWeight = 0.2;
/// Assumed for a target that hasn't responded yet, so that it is tried alongside known ones.
constexpr double defaultResponseMs = 10;
/// Weight of a new latency sample of a path in the slowdown of its targets.
constexpr double slowdownWeight = 0.3;
/// The typical latency ratio follows the paths without trouble: it falls fast and rises slowly.
constexpr double ratioFallWeight = 0.2;
constexpr double ratioRiseWeight = 0.005;
/// Slowdowns below these are normal variation. The time to the first event depends on the lengths of its own prompt and
/// of those queued before it, the time between events on the prefills that run in between.
constexpr std::array<double, latencyKindCount> normalSlowdown { 4, 1.5 };
constexpr double maxSlowdown = 20;
/// A slow target is tried again as its slowdown decays: to about a third after this time.
constexpr double slowdownDecayMs = 6000;
/// Cost factor of a target in another domain, as traffic between domains is billed.
constexpr double crossDomainFactor = 1.3;
/// Share of selections that are made at random, so that a target that was slow once is measured again.
constexpr double exploreShare = 0.02;
constexpr double percent = 100;
/// Random variation of costs, so that gateways don't all select the same one of two equal targets.
constexpr double jitterShare = 0.1;
/// Penalties of a target that failed recently, is in backoff or has lost its heartbeats. They are several times the
/// cost of a whole chain of the slowest accelerators, so such a target is used only where no other path is left.
constexpr double failedAttemptMs = 300; ///< cost of a failed attempt, multiplied by the share of failures
constexpr double backoffPenaltyMs = 1000;
constexpr double lostPenaltyMs = 2000;

/// A path is safe if its events are expected within this share of the gap target: prefills between two passes, or a
/// lost packet, can double the time.
constexpr double safeGapShare = 0.35;
/// Share of memory use above which a target costs more. While all paths are fast enough, load is spread early, because
/// a full target refuses requests or preempts running ones. Where slow accelerators would miss the gap target, fast
/// ones are filled further.
constexpr double spreadMemoryThreshold = 0.75;
constexpr double latencyMemoryThreshold = 0.95;

} // namespace

target_pool::target_pool(pool_options options, std::uint64_t seed)
    : m_options(std::move(options))
    , m_random(seed)
    , m_domains { m_options.ownDomain }
{
}

std::vector<std::string> target_pool::update(const std::map<std::string, registry::target_record>& records)
{
    const bool isUnchanged = m_targets.size() == records.size()
        && std::equal(m_targets.begin(), m_targets.end(), records.begin(),
            [](const auto& known, const auto& reported) { return known.first == reported.second.incarnation(); });
    m_hasOtherGatewayLoads = m_hasOtherGatewayLoads && isUnchanged;
    std::erase_if(m_targets, [&records](const auto& item) {
        const auto reported = records.find(item.first.id);
        return reported == records.end() || reported->second.incarnation() != item.first;
    });
    std::vector<std::string> newAddresses;
    for (const auto& [id, record] : records) {
        const auto [found, isNew] = m_targets.try_emplace(record.incarnation());
        auto& target = found->second;
        if (isNew)
            newAddresses.push_back(record.address);
        const bool cameBack
            = target.record.state == registry::target_state::Lost && record.state == registry::target_state::Ready;
        target.record = record;
        target.domain = domainIndex(record.failureDomain);
        if (cameBack) {
            target.avoidUntil = {};
            target.isUnresponsive = false;
            target.refusesConnections = false;
        }
        applyEngineModel(target);
    }
    return newAddresses;
}

void target_pool::setEngine(const std::string& service, const std::optional<layered_engine>& engine)
{
    if (engine)
        m_engines[service] = *engine;
    else
        m_engines.erase(service);
    for (auto& [id, target] : m_targets)
        applyEngineModel(target);
}

void target_pool::applyEngineModel(pool_target& target) const
{
    const auto engine = m_engines.find(target.record.service);
    if (engine == m_engines.end())
        return;
    for (const auto& kind : engine->second.kinds) {
        if (kind.name != target.record.accelerator)
            continue;
        target.stepFactor = kind.stepFactor;
        const double weightsMb = engine->second.layerMb * target.record.layers.size();
        const double tokenLayerMb = engine->second.tokenBytes / bytesPerMb / std::max(engine->second.layers, 1U);
        target.memoryTokenLayers = tokenLayerMb > 0 ? std::max(0.0, kind.memoryMb - weightsMb) / tokenLayerMb : 0;
        const double prefillPerMs = engine->second.prefillTokensPerSecond / 1000;
        target.prefillMsPerTokenLayer
            = prefillPerMs > 0 ? kind.prefillFactor / prefillPerMs / std::max(engine->second.layers, 1U) : 0;
    }
}

std::size_t target_pool::domainIndex(const std::string& name)
{
    const auto known = std::find(m_domains.begin(), m_domains.end(), name);
    if (known != m_domains.end())
        return static_cast<std::size_t>(known - m_domains.begin());
    m_domains.push_back(name);
    return m_domains.size() - 1;
}

std::optional<selection> target_pool::select(
    const std::string& service, const selection_constraints& constraints, steady_time now)
{
    const auto engine = m_engines.find(service);
    if (engine != m_engines.end() && engine->second.layers > 0)
        return selectPath(service, engine->second, constraints, now);
    return selectTarget(service, constraints, now);
}

bool target_pool::acceptsWork(const registry::target_record& record)
{
    return record.state == registry::target_state::Ready || record.state == registry::target_state::Lost;
}

std::vector<target_pool::pool_target*> target_pool::usableTargets(
    const std::string& service, const std::set<registry::target_incarnation>& excluded)
{
    std::vector<pool_target*> found;
    for (auto& [id, target] : m_targets) {
        if (acceptsWork(target.record) && !target.announcedLeaving && target.record.service == service
            && !excluded.contains(id))
            found.push_back(&target);
    }
    return found;
}

double target_pool::failurePenaltyMs(const pool_target& target, steady_time now)
{
    double penalty = failedAttemptMs * target.failureShare;
    if (target.record.state == registry::target_state::Lost)
        penalty += lostPenaltyMs;
    if (now < std::max(target.avoidUntil, target.backoffUntil))
        penalty += backoffPenaltyMs;
    return penalty;
}

std::optional<selection> target_pool::selectPath(
    const std::string& service, const layered_engine& engine, const selection_constraints& constraints, steady_time now)
{
    recordSelection(now);
    const auto targets = usableTargets(service, constraints.excluded);
    const path_weights spreadLoad { 1.0 / engine.stepsPerPass, spreadMemoryThreshold };
    auto selected = findSelection(targets, engine, constraints, spreadLoad, now);
    const double safeMs = safeGapShare * static_cast<double>(constraints.eventGapTarget.count());
    if (!selected || safeMs <= 0 || selected->expectedPassMs <= safeMs)
        return selected;
    return findSelection(targets, engine, constraints, { 1, latencyMemoryThreshold }, now);
}

std::optional<selection> target_pool::findSelection(std::span<pool_target* const> targets, const layered_engine& engine,
    const selection_constraints& constraints, const path_weights& weights, steady_time now)
{
    std::uniform_real_distribution<double> jitter(1, 1 + jitterShare);
    std::vector<path_candidate> candidates;
    candidates.reserve(targets.size());
    for (const auto* target : targets) {
        const auto pass = passTime(*target, engine);
        const double passFactor = weights.passFactor * slowdownOf(*target, now) * jitter(m_random);
        const double fixedMs = failurePenaltyMs(*target, now) + limitPenaltyMs(*target, now)
            + congestionMs(*target, weights.memoryThreshold) + pass.sharedMs * passFactor;
        const bool isAllowed
            = constraints.allowedFirst.empty() || constraints.allowedFirst.contains(target->record.incarnation());
        candidates.push_back({ target->record.layers, target->domain, pass.perLayerMs * passFactor, fixedMs,
            isAllowed && acceptsNow(*target, now) });
    }
    path_costs costs;
    costs.crossingMs = crossingMs(engine);
    costs.linkWaitMs = linkWaits(engine);
    const auto path = findPath(candidates, engine.layers, m_domains.size(), 0, costs);
    if (path.empty())
        return std::nullopt;
    selection selected;
    selected.memoryLimit = memoryLimit(now);
    std::size_t penalized = 0;
    for (const auto& part : path) {
        const auto& record = targets[part.candidate]->record;
        const auto& target = *targets[part.candidate];
        selected.parts.push_back({ record.incarnation(), record.address, part.layers, target.domain });
        const auto pass = passTime(target, engine);
        selected.expectedPassMs += path_costs().perPartMs + pass.sharedMs + pass.perLayerMs * part.layers.size();
        penalized += failurePenaltyMs(target, now) + congestionMs(target, weights.memoryThreshold) > 0 ? 1 : 0;
        selected.memoryUse = std::max(selected.memoryUse, memoryUse(target));
    }
    selected.hasCapacity = selected.memoryUse <= selected.memoryLimit;
    selected.summary = std::to_string(targets.size()) + " usable, " + std::to_string(path.size()) + " parts, "
        + std::to_string(penalized) + " penalized, highest memory use "
        + std::to_string(std::lround(selected.memoryUse * percent)) + "%, loads "
        + (m_hasOtherGatewayLoads
                ? std::to_string(std::chrono::duration_cast<milliseconds>(now - m_otherGatewayLoadsAt).count())
                    + " ms old"
                : "unknown")
        + describeLimit(*targets[path.front().candidate], now);
    return selected;
}

std::optional<selection> target_pool::selectTarget(
    const std::string& service, const selection_constraints& constraints, steady_time now)
{
    auto targets = usableTargets(service, constraints.excluded);
    if (!constraints.allowedFirst.empty())
        std::erase_if(targets, [&constraints](const auto* target) {
            return !constraints.allowedFirst.contains(target->record.incarnation());
        });
    std::erase_if(targets, [now](const auto* target) { return !acceptsNow(*target, now); });
    std::uniform_real_distribution<double> draw(0, 1);
    const bool explores = draw(m_random) < exploreShare;
    const pool_target* best = nullptr;
    double bestCost = 0;
    for (const auto* target : targets) {
        const double waiting = target->sequences * loadScale() / std::max(target->record.slots, 1U);
        const double responseMs = target->responseMs > 0 ? target->responseMs : defaultResponseMs;
        double cost = responseMs * (1 + waiting) * (target->domain == 0 ? 1 : crossDomainFactor)
            * (1 + jitterShare * draw(m_random));
        if (explores)
            cost = draw(m_random);
        cost += failurePenaltyMs(*target, now) + limitPenaltyMs(*target, now);
        if (best == nullptr || cost < bestCost) {
            best = target;
            bestCost = cost;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    selection selected;
    selected.parts.push_back({ best->record.incarnation(), best->record.address, {}, best->domain });
    selected.summary = std::to_string(targets.size()) + " usable, expected "
        + std::to_string(static_cast<int>(std::lround(bestCost))) + " ms" + describeLimit(*best, now);
    return selected;
}

double target_pool::slowdownOf(const pool_target& target, std::size_t kind, steady_time now)
{
    if (target.slowdown[kind] <= 1)
        return 1;
    const auto since = std::chrono::duration_cast<milliseconds>(now - target.slowdownSince[kind]).count();
    return 1 + (target.slowdown[kind] - 1) * std::exp(-static_cast<double>(since) / slowdownDecayMs);
}

double target_pool::slowdownOf(const pool_target& target, steady_time now)
{
    double highest = 1;
    for (std::size_t kind = 0; kind < latencyKindCount; ++kind)
        highest = std::max(highest, slowdownOf(target, kind, now));
    return highest;
}

void target_pool::recordLatency(const selection& selected, latency_kind kind, double ms, steady_time now)
{
    if (selected.expectedPassMs <= 0)
        return;
    const double ratio = ms / selected.expectedPassMs;
    const auto index = static_cast<std::size_t>(kind);
    double& typical = m_typicalLatencyRatio[index];
    if (typical == 0)
        typical = ratio;
    typical += (ratio < typical ? ratioFallWeight : ratioRiseWeight) * (ratio - typical);
    const double relative = ratio / typical;
    const double measured = relative < normalSlowdown[index] ? 1 : std::min(relative, maxSlowdown);
    for (const auto& part : selected.parts) {
        const auto found = m_targets.find(part.target);
        if (found == m_targets.end())
            continue;
        auto& target = found->second;
        target.slowdown[index] = (1 - slowdownWeight) * slowdownOf(target, index, now) + slowdownWeight * measured;
        target.slowdownSince[index] = now;
    }
}

void target_pool::succeeded(const registry::target_incarnation& id, double responseMs)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end())
        return;
    auto& target = found->second;
    target.failureShare *= 1 - newestWeight;
    target.refusalsInRow = 0;
    target.responseMs
        = target.responseMs == 0 ? responseMs : (1 - newestWeight) * target.responseMs + newestWeight * responseMs;
}

void target_pool::failed(const registry::target_incarnation& id)
{
    const auto found = m_targets.find(id);
    if (found != m_targets.end())
        found->second.failureShare = (1 - newestWeight) * found->second.failureShare + newestWeight;
}

void target_pool::refused(const registry::target_incarnation& id, steady_time now)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end())
        return;
    auto& target = found->second;
    const auto backoff = m_options.initialRefusalBackoff * (1U << std::min<std::size_t>(target.refusalsInRow, 8));
    ++target.refusalsInRow;
    target.avoidUntil = std::max(target.avoidUntil, now + std::min<milliseconds>(backoff, m_options.maxRefusalBackoff));
    if (target.refusalsInRow % m_options.refusalsUntilUnreachable == 0)
        m_newlyUnreachable.push_back(id);
}

void target_pool::markUnreachable(const registry::target_incarnation& id, steady_time now)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end())
        return;
    found->second.avoidUntil = std::max(found->second.avoidUntil, now + m_options.unreachableBackoff);
    m_newlyUnreachable.push_back(id);
}

registry::target_incarnation target_pool::idAt(const std::string& address) const
{
    for (const auto& [id, target] : m_targets) {
        const bool hasSignedOff = target.record.state == registry::target_state::Gone;
        if (!hasSignedOff && target.record.address == address)
            return id;
    }
    return {};
}

void target_pool::markRefusing(const std::string& address)
{
    for (auto& [id, target] : m_targets)
        target.refusesConnections = target.refusesConnections || target.record.address == address;
}

void target_pool::markUnresponsive(const std::string& address)
{
    for (auto& [id, target] : m_targets)
        target.isUnresponsive = target.isUnresponsive || target.record.address == address;
}

void target_pool::markReachable(const std::string& address)
{
    for (auto& [id, target] : m_targets) {
        if (target.record.address != address)
            continue;
        target.refusesConnections = false;
        target.isUnresponsive = false;
    }
}

target_evidence target_pool::evidenceOf(const registry::target_incarnation& id, const std::string& address) const
{
    if (wasReplaced(id) || isAddressTaken(id, address))
        return target_evidence::Replaced;
    const auto found = m_targets.find(id);
    if (found == m_targets.end())
        return target_evidence::Unknown;
    const auto& target = found->second;
    const bool isGoneOrLost = registry::isGoneOrLost(target.record);
    if (target.refusesConnections)
        return isGoneOrLost ? target_evidence::Ended : target_evidence::Refusing;
    if (target.record.state == registry::target_state::Gone)
        return target_evidence::SignedOff;
    if (target.isUnresponsive)
        return isGoneOrLost ? target_evidence::CutOff : target_evidence::Unresponsive;
    return isGoneOrLost ? target_evidence::Unheard : target_evidence::Alive;
}

bool target_pool::isAddressTaken(const registry::target_incarnation& from, const std::string& address) const
{
    return std::any_of(m_targets.begin(), m_targets.end(), [&](const auto& item) {
        const auto& [id, target] = item;
        return id != from && target.record.address == address && !registry::isGoneOrLost(target.record)
            && id.startedMs > from.startedMs;
    });
}

bool target_pool::isGone(const registry::target_incarnation& id) const
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() || found->second.record.state == registry::target_state::Gone;
}

bool target_pool::isLeaving(const registry::target_incarnation& id) const
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end())
        return false;
    return found->second.announcedLeaving || !acceptsWork(found->second.record);
}

bool target_pool::wasReplaced(const registry::target_incarnation& id) const
{
    if (m_targets.contains(id))
        return false;
    const auto later = m_targets.lower_bound({ id.id, id.startedMs });
    return later != m_targets.end() && later->first.id == id.id;
}

bool target_pool::hasReleased(const registry::target_incarnation& id, const registry::layer_range& layers) const
{
    if (layers.isEmpty() || isGone(id))
        return false;
    const auto& loaded = m_targets.at(id).record.layers;
    return layers.first < loaded.first || loaded.end < layers.end;
}

std::size_t target_pool::readyCount(const std::string& service) const
{
    return static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(), [&service](const auto& item) {
        return item.second.record.service == service && item.second.record.state == registry::target_state::Ready;
    }));
}

} // namespace buckthornrail::gateway
