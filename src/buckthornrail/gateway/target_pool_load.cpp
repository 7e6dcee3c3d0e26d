/// @file
/// @brief Load of targets by this gateway and by all, and the cost that follows from it.
#include "buckthornrail/gateway/target_pool.hpp"

#include <algorithm>
#include <cmath>

namespace buckthornrail::gateway {
namespace {

/// Cost of a target whose memory is full, equal to two crossings between domains: a full engine preempts requests and
/// refuses new ones.
constexpr double fullMemoryMs = 160;
/// Share of a target's memory that may be requested beyond what it has. Streams last about two seconds, so this much is
/// released within half a second, a common latency target of first events. Gateways that decide at the same time don't
/// see each other's requests yet, so each uses only its part of it.
constexpr double memoryOvercommit = 0.3;
constexpr double maxCongestionMs = 600; ///< less than the penalty of a target that has just refused
/// Prefill time that may be queued at a target at no cost, as latency targets of first events are 500 ms and more. Any
/// time beyond it is added to the cost.
constexpr double freePrefillMs = 60;
constexpr double loadUnit = 1000; ///< unit of target_loads, in tokens times layers
/// Loads older than this refuse no requests. Gateways report them every 100 ms, but not while there is no leader; after
/// a second half of the attempts of that time have ended.
constexpr milliseconds loadLifetime { 1000 };
/// Time constant of the average rate of selections: a few durations of a stream.
constexpr double selectionRateSeconds = 5;

} // namespace

double target_pool::gatewaysPerDomain() const
{
    return std::max(1.0, m_gateways / static_cast<double>(m_domains.size()));
}

double target_pool::totalTokenLayers(const pool_target& target) const
{
    if (!m_hasOtherGatewayLoads)
        return target.tokenLayers * loadScale();
    // Load added here since the last report was likely added at the other gateways of the domain as well: they all move
    // away from a failed target at the same time.
    const double added = std::max(0.0, target.tokenLayers - target.tokenLayersAtReport);
    return target.tokenLayers + target.otherGatewaysTokenLayers + added * (gatewaysPerDomain() - 1);
}

target_pool::pass_time target_pool::passTime(const pool_target& target, const layered_engine& engine) const
{
    const double usualTokens = engine.usualPromptTokens + engine.usualOutputTokens;
    const double tokenLayers = totalTokenLayers(target);
    const double sequenceLayers
        = usualTokens > 0 ? tokenLayers / usualTokens : target.sequences * loadScale() * target.record.layers.size();
    const double layerMs = engine.stepsPerPass * target.stepFactor / std::max(engine.layers, 1U);
    pass_time time;
    time.perLayerMs = layerMs * engine.stepMs;
    const double othersMs
        = layerMs * (engine.stepMsPerSequence * sequenceLayers + engine.stepMsPerContextToken * tokenLayers);
    const double busy = std::min(1.0, sequenceLayers / std::max(target.record.layers.size(), 1U));
    time.sharedMs = othersMs + (othersMs + time.perLayerMs * target.record.layers.size() * busy) / 2;
    return time;
}

double target_pool::memoryUse(const pool_target& target) const
{
    return target.memoryTokenLayers > 0 ? totalTokenLayers(target) / target.memoryTokenLayers : 1;
}

double target_pool::memoryLimit(steady_time now) const
{
    const bool isKnown = m_hasOtherGatewayLoads && now <= m_otherGatewayLoadsAt + loadLifetime;
    return isKnown ? 1 + memoryOvercommit / gatewaysPerDomain() : std::numeric_limits<double>::infinity();
}

double target_pool::lowestMemoryUse(const std::string& service) const
{
    const auto engine = m_engines.find(service);
    if (engine == m_engines.end())
        return 0;
    std::vector<double> lowest(engine->second.layers, std::numeric_limits<double>::infinity());
    for (const auto& [id, target] : m_targets) {
        if (target.record.service != service || !acceptsWork(target.record) || target.announcedLeaving)
            continue;
        const double use = memoryUse(target);
        const auto end = std::min<std::size_t>(target.record.layers.end, lowest.size());
        for (std::size_t layer = target.record.layers.first; layer < end; ++layer)
            lowest[layer] = std::min(lowest[layer], use);
    }
    return lowest.empty() ? 0 : *std::max_element(lowest.begin(), lowest.end());
}

double target_pool::memoryTokens(const std::string& service) const
{
    const auto engine = m_engines.find(service);
    if (engine == m_engines.end() || engine->second.layers == 0)
        return 0;
    double tokenLayers = 0;
    for (const auto& [id, target] : m_targets) {
        if (target.record.service == service && acceptsWork(target.record) && !target.record.layers.isEmpty())
            tokenLayers += target.memoryTokenLayers;
    }
    return tokenLayers / engine->second.layers;
}

double target_pool::congestionMs(const pool_target& target, double memoryThreshold) const
{
    const double excess = std::max(0.0, memoryUse(target) - memoryThreshold) / (1 - memoryThreshold);
    const double prefillMs = target.prefillTokenLayers * target.prefillMsPerTokenLayer * gatewaysPerDomain();
    return std::min(maxCongestionMs, excess * fullMemoryMs) + std::max(0.0, prefillMs - freePrefillMs);
}

void target_pool::recordSelection(steady_time now)
{
    const std::chrono::duration<double> since = now - std::exchange(m_lastSelectionAt, now);
    m_selectionsPerSecond
        = m_selectionsPerSecond * std::exp(-since.count() / selectionRateSeconds) + 1 / selectionRateSeconds;
}

double target_pool::crossingMs(const layered_engine& engine) const
{
    // All gateways see the same congested targets and start to cross at the same time, so the link's utilization is
    // estimated as if all traffic crossed.
    constexpr double msPerSecond = 1000;
    const double promptMs = engine.usualPromptTokens * engine.linkMsPerToken();
    const double linkUse = m_selectionsPerSecond * m_gateways * promptMs / msPerSecond;
    return path_costs().crossingMs * std::max(1.0, linkUse);
}

std::vector<double> target_pool::linkWaits(const layered_engine& engine) const
{
    const std::size_t count = m_domains.size();
    std::vector<double> waits(count * count, 0);
    const double msPerToken = engine.linkMsPerToken();
    for (const auto& [crossing, tokens] : m_prefillCrossings)
        waits[crossing.first * count + crossing.second] = tokens * msPerToken * gatewaysPerDomain();
    return waits;
}

double target_pool::loadScale() const
{
    return 1 + m_othersOpenAttempts / std::max(static_cast<double>(m_openAttempts), 1.0);
}

/// The caller names an upper bound that few outputs come near, so the service's usual output length caps it.
double target_pool::expectedTokens(const std::string& service, const request_size& size) const
{
    const auto engine = m_engines.find(service);
    const bool isKnown = engine != m_engines.end() && engine->second.usualOutputTokens > 0;
    const double outputTokens
        = isKnown ? std::min(size.maxOutputTokens, engine->second.usualOutputTokens) : size.maxOutputTokens;
    return size.promptTokens + outputTokens;
}

void target_pool::setOtherGateways(std::size_t gateways, std::size_t openAttempts)
{
    m_gateways = static_cast<double>(std::max<std::size_t>(gateways, 1));
    m_othersOpenAttempts = static_cast<double>(openAttempts);
}

void target_pool::setOtherGatewayLoads(const registry::target_loads& loads, steady_time now)
{
    m_otherGatewayLoadsAt = now;
    m_hasOtherGatewayLoads = !loads.empty() && loads.size() == m_targets.size();
    if (!m_hasOtherGatewayLoads)
        return;
    auto load = loads.begin();
    for (auto& [id, target] : m_targets) {
        target.otherGatewaysTokenLayers = *load++ * loadUnit;
        target.tokenLayersAtReport = target.tokenLayers;
    }
}

registry::target_loads target_pool::loads() const
{
    registry::target_loads result;
    if (m_targets.size() > registry::maxTargetsInLoadReport)
        return result;
    result.reserve(m_targets.size());
    for (const auto& [id, target] : m_targets)
        result.push_back(static_cast<std::uint32_t>(std::lround(target.tokenLayers / loadUnit)));
    return result;
}

void target_pool::addPrefill(const selection& selected, double promptTokens)
{
    const selected_part* before = nullptr;
    for (const auto& part : selected.parts) {
        const auto found = m_targets.find(part.target);
        if (found != m_targets.end()) {
            auto& prefill = found->second.prefillTokenLayers;
            prefill = std::max(0.0, prefill + promptTokens * part.layers.size());
        }
        const auto crossing
            = before == nullptr ? std::pair<std::size_t, std::size_t>() : std::pair(before->domain, part.domain);
        if (crossing.first != crossing.second) {
            auto& tokens = m_prefillCrossings[crossing];
            tokens = std::max(0.0, tokens + promptTokens);
        }
        before = &part;
    }
}

void target_pool::attemptStarted(const selection& selected, const request_size& size)
{
    ++m_openAttempts;
    addPrefill(selected, size.promptTokens);
    for (const auto& part : selected.parts) {
        const auto found = m_targets.find(part.target);
        if (found == m_targets.end())
            continue;
        found->second.sequences += 1;
        found->second.tokenLayers += expectedTokens(found->second.record.service, size) * part.layers.size();
    }
}

void target_pool::prefillFinished(const selection& selected, const request_size& size)
{
    addPrefill(selected, -size.promptTokens);
}

void target_pool::attemptEnded(const selection& selected, const request_size& size, bool isPrefillFinished)
{
    m_openAttempts -= m_openAttempts > 0 ? 1 : 0;
    if (!isPrefillFinished)
        addPrefill(selected, -size.promptTokens);
    for (const auto& part : selected.parts) {
        const auto found = m_targets.find(part.target);
        if (found == m_targets.end())
            continue;
        auto& target = found->second;
        target.sequences = std::max(0.0, target.sequences - 1);
        target.tokenLayers
            = std::max(0.0, target.tokenLayers - expectedTokens(target.record.service, size) * part.layers.size());
    }
}

} // namespace buckthornrail::gateway
