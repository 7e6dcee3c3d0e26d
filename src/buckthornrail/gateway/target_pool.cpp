/// @file
/// @brief Choosing among targets.
#include "buckthornrail/gateway/target_pool.hpp"

#include <algorithm>
#include <cmath>

namespace buckthornrail::gateway {
namespace {

constexpr double bytesPerMb = 1e6;
/// Weight of the newest answer in a target's moving average: about the last ten count.
constexpr double newestWeight = 0.2;
/// Taken for a target that hasn't answered yet, so that it is tried beside known ones.
constexpr double defaultAnswerMs = 10;
/// What was seen of a path's pace counts for this part of what is known of its members.
constexpr double slowdownWeight = 0.3;
/// The usual pace follows sound paths: down at once, up slowly.
constexpr double typicalRatioDown = 0.2;
constexpr double typicalRatioUp = 0.005;
/// Below these a path counts as sound: engines' steps vary by so much with the prompts that they read meanwhile, and
/// the first event with the length of its own prompt and of those before it.
constexpr std::array<double, latencyKindCount> normalSlowdown { 4, 1.5 };
constexpr double maxSlowdown = 20;
/// A slow target is tried again as its slowdown fades: to a third after this time.
constexpr double slowdownDecayMs = 6000;
/// A target in another domain must be so much sooner to be chosen: bytes between domains are paid for.
constexpr double crossDomainFactor = 1.3;
/// A share of choices is drawn at random, so that a target that was slow once is measured again.
constexpr double exploreShare = 0.02;
constexpr double percent = 100;
/// Costs are varied by so much, so that gateways don't all pick the same of two equal targets.
constexpr double jitterShare = 0.1;
/// Cost of using a target that failed lately, or whose heartbeats stopped: several times a whole chain of the slowest
/// accelerators, so it happens only where no other way is left.
constexpr double failedAttemptMs = 300; ///< what a failed attempt costs a caller, times the share of them
constexpr double backoffPenaltyMs = 1000;
constexpr double lostPenaltyMs = 2000;

/// A path whose events are expected within this part of the gap target is safe: prompts that are read between two
/// passes, and a lost packet, take about as much again.
constexpr double safeGapShare = 0.35;
/// Share of its memory from which on a target costs more. Where all paths are soon enough, work is spread early: a full
/// target refuses, or preempts what it has begun. Where slow accelerators would make a stream late, fast ones are
/// filled.
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
    const bool isSameSet = m_targets.size() == records.size()
        && std::equal(m_targets.begin(), m_targets.end(), records.begin(),
            [](const auto& held, const auto& told) { return held.first == told.second.incarnation(); });
    m_hasOtherGatewayLoads = m_hasOtherGatewayLoads && isSameSet;
    std::erase_if(m_targets, [&records](const auto& item) {
        const auto told = records.find(item.first.id);
        return told == records.end() || told->second.incarnation() != item.first;
    });
    std::vector<std::string> newAddresses;
    for (const auto& [id, record] : records) {
        const auto [at, isNew] = m_targets.try_emplace(record.incarnation());
        auto& target = at->second;
        if (isNew)
            newAddresses.push_back(record.address);
        const bool cameBack
            = target.record.state == registry::target_state::Lost && record.state == registry::target_state::Ready;
        target.record = record;
        target.domain = domainIndex(record.failureDomain);
        if (cameBack) {
            target.avoidUntil = {};
            target.isUnresponsive = false;
        }
        describeAccelerator(target);
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
        describeAccelerator(target);
}

void target_pool::describeAccelerator(pool_target& target) const
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
    const std::string& service, const selection_constraints& bounds, steady_time now)
{
    const auto engine = m_engines.find(service);
    if (engine != m_engines.end() && engine->second.layers > 0)
        return selectPath(service, engine->second, bounds, now);
    return selectOne(service, bounds, now);
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
    double doubt = failedAttemptMs * target.failureShare;
    if (target.record.state == registry::target_state::Lost)
        doubt += lostPenaltyMs;
    if (now < std::max(target.avoidUntil, target.backoffUntil))
        doubt += backoffPenaltyMs;
    return doubt;
}

std::optional<selection> target_pool::selectPath(
    const std::string& service, const layered_engine& engine, const selection_constraints& bounds, steady_time now)
{
    recordSelection(now);
    const auto targets = usableTargets(service, bounds.excluded);
    const path_weights spreadLoad { 1.0 / engine.stepsPerPass, spreadMemoryThreshold };
    auto chosen = findSelection(targets, engine, bounds, spreadLoad, now);
    const double safeMs = safeGapShare * static_cast<double>(bounds.eventGapTarget.count());
    if (!chosen || safeMs <= 0 || chosen->expectedPassMs <= safeMs)
        return chosen;
    return findSelection(targets, engine, bounds, { 1, latencyMemoryThreshold }, now);
}

std::optional<selection> target_pool::findSelection(std::span<pool_target* const> targets, const layered_engine& engine,
    const selection_constraints& bounds, const path_weights& weights, steady_time now)
{
    std::uniform_real_distribution<double> jitter(1, 1 + jitterShare);
    std::vector<path_candidate> candidates;
    candidates.reserve(targets.size());
    for (const auto* target : targets) {
        const auto pass = passTime(*target, engine);
        const double pace = weights.passFactor * slowdownOf(*target, now) * jitter(m_random);
        const double fixedMs = failurePenaltyMs(*target, now) + limitPenaltyMs(*target, now)
            + congestionMs(*target, weights.memoryThreshold) + pass.sharedMs * pace;
        const bool isAllowed
            = bounds.allowedFirst.empty() || bounds.allowedFirst.contains(target->record.incarnation());
        candidates.push_back({ target->record.layers, target->domain, pass.perLayerMs * pace, fixedMs,
            isAllowed && acceptsNow(*target, now) });
    }
    path_costs costs;
    costs.crossingMs = crossingMs(engine);
    costs.pipeWaitMs = linkWaits(engine);
    const auto path = findPath(candidates, engine.layers, m_domains.size(), 0, costs);
    if (path.empty())
        return std::nullopt;
    selection chosen;
    std::size_t doubtful = 0;
    double fullest = 0;
    for (const auto& part : path) {
        const auto& record = targets[part.candidate]->record;
        const auto& target = *targets[part.candidate];
        chosen.parts.push_back({ record.incarnation(), record.address, part.layers, target.domain });
        const auto pass = passTime(target, engine);
        chosen.expectedPassMs += path_costs().perPartMs + pass.sharedMs + pass.perLayerMs * part.layers.size();
        doubtful += failurePenaltyMs(target, now) + congestionMs(target, weights.memoryThreshold) > 0 ? 1 : 0;
        chosen.hasCapacity = chosen.hasCapacity && hasCapacity(target, now);
        fullest = std::max(fullest, memoryUse(target));
    }
    chosen.summary = std::to_string(targets.size()) + " usable, " + std::to_string(path.size()) + " parts, "
        + std::to_string(doubtful) + " doubtful, fullest " + std::to_string(std::lround(fullest * percent))
        + "%, loads "
        + (m_hasOtherGatewayLoads
                ? std::to_string(std::chrono::duration_cast<milliseconds>(now - m_otherGatewayLoadsAt).count())
                    + " ms old"
                : "not told")
        + describeLimit(*targets[path.front().candidate], now);
    return chosen;
}

std::optional<selection> target_pool::selectOne(
    const std::string& service, const selection_constraints& bounds, steady_time now)
{
    auto targets = usableTargets(service, bounds.excluded);
    if (!bounds.allowedFirst.empty())
        std::erase_if(
            targets, [&bounds](const auto* one) { return !bounds.allowedFirst.contains(one->record.incarnation()); });
    std::erase_if(targets, [now](const auto* one) { return !acceptsNow(*one, now); });
    std::uniform_real_distribution<double> draw(0, 1);
    const bool explores = draw(m_random) < exploreShare;
    const pool_target* best = nullptr;
    double bestCost = 0;
    for (const auto* target : targets) {
        const double waiting = target->sequences * loadScale() / std::max(target->record.slots, 1U);
        const double answerMs = target->answerMs > 0 ? target->answerMs : defaultAnswerMs;
        double cost = answerMs * (1 + waiting) * (target->domain == 0 ? 1 : crossDomainFactor)
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
    selection chosen;
    chosen.parts.push_back({ best->record.incarnation(), best->record.address, {}, best->domain });
    chosen.summary = std::to_string(targets.size()) + " usable, expected "
        + std::to_string(static_cast<int>(std::lround(bestCost))) + " ms" + describeLimit(*best, now);
    return chosen;
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
    double most = 1;
    for (std::size_t kind = 0; kind < latencyKindCount; ++kind)
        most = std::max(most, slowdownOf(target, kind, now));
    return most;
}

void target_pool::recordLatency(const selection& chosen, latency_kind kind, double ms, steady_time now)
{
    if (chosen.expectedPassMs <= 0)
        return;
    const double pace = ms / chosen.expectedPassMs;
    const auto at = static_cast<std::size_t>(kind);
    double& usual = m_typicalLatencyRatio[at];
    if (usual == 0)
        usual = pace;
    usual += (pace < usual ? typicalRatioDown : typicalRatioUp) * (pace - usual);
    const double against = pace / usual;
    const double seen = against < normalSlowdown[at] ? 1 : std::min(against, maxSlowdown);
    for (const auto& part : chosen.parts) {
        const auto found = m_targets.find(part.target);
        if (found == m_targets.end())
            continue;
        auto& target = found->second;
        target.slowdown[at] = (1 - slowdownWeight) * slowdownOf(target, at, now) + slowdownWeight * seen;
        target.slowdownSince[at] = now;
    }
}

void target_pool::succeeded(const registry::target_incarnation& id, double answerMs)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end())
        return;
    auto& target = found->second;
    target.failureShare *= 1 - newestWeight;
    target.refusalsInRow = 0;
    target.answerMs = target.answerMs == 0 ? answerMs : (1 - newestWeight) * target.answerMs + newestWeight * answerMs;
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
    const auto doubled = m_options.initialRefusalBackoff * (1U << std::min<std::size_t>(target.refusalsInRow, 8));
    ++target.refusalsInRow;
    target.avoidUntil = std::max(target.avoidUntil, now + std::min<milliseconds>(doubled, m_options.maxRefusalBackoff));
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
        const bool isOver = target.record.state == registry::target_state::Gone;
        if (!isOver && target.record.address == address)
            return id;
    }
    return {};
}

void target_pool::markEnded(const std::string& address)
{
    for (auto& [id, target] : m_targets)
        target.hasEnded = target.hasEnded || target.record.address == address;
}

void target_pool::markUnresponsive(const std::string& address)
{
    for (auto& [id, target] : m_targets)
        target.isUnresponsive = target.isUnresponsive || target.record.address == address;
}

bool target_pool::hasEnded(const registry::target_incarnation& id) const
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end())
        return true;
    const auto& target = found->second;
    return target.hasEnded || (target.isUnresponsive && target.record.state == registry::target_state::Lost);
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
    const auto& held = m_targets.at(id).record.layers;
    return layers.first < held.first || held.end < layers.end;
}

std::size_t target_pool::readyCount(const std::string& service) const
{
    return static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(), [&service](const auto& item) {
        return item.second.record.service == service && item.second.record.state == registry::target_state::Ready;
    }));
}

} // namespace buckthornrail::gateway
