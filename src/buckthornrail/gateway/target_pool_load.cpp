/// @file
/// @brief Work at targets, of this gateway and of all, and what it makes them cost.
#include "buckthornrail/gateway/target_pool.hpp"

#include <algorithm>
#include <cmath>

namespace buckthornrail::gateway {
namespace {

/// A target without room costs as much as two crossings between domains: a full engine preempts requests, and refuses
/// new ones.
constexpr double fullMemoryMs = 160;
/// Part of a target's memory that may be asked for beyond what it has: streams last about two seconds, so as much comes
/// free again within half a second, a usual latency target of first events. Gateways that decide at the same moment
/// don't see each other's requests yet, so each takes its part of it.
constexpr double memoryOvercommit = 0.3;
constexpr double maxCongestionMs = 600; ///< less than a target that refused just now
/// Prompts that take so long to read at a target may wait there; what is beyond it counts as much as it takes. Latency
/// targets of first events are 500 ms and more.
constexpr double freePrefillMs = 60;
constexpr double loadUnit = 1000; ///< of load_row
/// Nobody is refused by loads that were told longer ago: gateways tell them every 100 ms, and without a leader for a
/// second nobody does; half of what was open then has ended.
constexpr milliseconds loadLifetime { 1000 };
/// The rate of choices is an average over about so long: a few residence times of a stream.
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
    // What came on here since the others told came on at other gateways too: they leave a dead member together.
    const double grown = std::max(0.0, target.tokenLayers - target.tokenLayersAtReport);
    return target.tokenLayers + target.otherGatewaysTokenLayers + grown * (gatewaysPerDomain() - 1);
}

target_pool::pass_time target_pool::passTime(const pool_target& target, const layered_engine& engine) const
{
    const double usualTokens = engine.usualPromptTokens + engine.usualAnswerTokens;
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

bool target_pool::hasCapacity(const pool_target& target, steady_time now) const
{
    const bool isKnown = m_hasOtherGatewayLoads && now <= m_otherGatewayLoadsAt + loadLifetime;
    return !isKnown || memoryUse(target) <= 1 + memoryOvercommit / gatewaysPerDomain();
}

double target_pool::congestionMs(const pool_target& target, double memoryThreshold) const
{
    const double full = std::max(0.0, memoryUse(target) - memoryThreshold) / (1 - memoryThreshold);
    const double readMs = target.prefillTokenLayers * target.prefillMsPerTokenLayer * gatewaysPerDomain();
    return std::min(maxCongestionMs, full * fullMemoryMs) + std::max(0.0, readMs - freePrefillMs);
}

void target_pool::recordSelection(steady_time now)
{
    const std::chrono::duration<double> since = now - std::exchange(m_lastSelectionAt, now);
    m_selectionsPerSecond
        = m_selectionsPerSecond * std::exp(-since.count() / selectionRateSeconds) + 1 / selectionRateSeconds;
}

double target_pool::crossingMs(const layered_engine& engine) const
{
    // Gateways see the same crowded members and cross together: what counts is the pipe's use if all traffic did.
    constexpr double msPerSecond = 1000;
    const double promptMs = engine.usualPromptTokens * engine.pipeMsPerToken();
    const double pipeUse = m_selectionsPerSecond * m_gateways * promptMs / msPerSecond;
    return path_costs().crossingMs * std::max(1.0, pipeUse);
}

std::vector<double> target_pool::linkWaits(const layered_engine& engine) const
{
    const std::size_t count = m_domains.size();
    std::vector<double> waits(count * count, 0);
    const double msPerToken = engine.pipeMsPerToken();
    for (const auto& [between, tokens] : m_prefillCrossings)
        waits[between.first * count + between.second] = tokens * msPerToken * gatewaysPerDomain();
    return waits;
}

double target_pool::loadScale() const
{
    return 1 + m_othersOpenAttempts / std::max(static_cast<double>(m_openAttempts), 1.0);
}

/// Callers name the longest answer that they would take, which is the same for all and which few come near.
double target_pool::expectedTokens(const pool_target& target, const request_size& size) const
{
    const auto engine = m_engines.find(target.record.service);
    const bool isKnown = engine != m_engines.end() && engine->second.usualAnswerTokens > 0;
    const double answer = isKnown ? std::min(size.answerTokens, engine->second.usualAnswerTokens) : size.answerTokens;
    return size.promptTokens + answer;
}

void target_pool::setOtherGateways(std::size_t gateways, std::size_t openAttempts)
{
    m_gateways = static_cast<double>(std::max<std::size_t>(gateways, 1));
    m_othersOpenAttempts = static_cast<double>(openAttempts);
}

void target_pool::setOtherGatewayLoads(const registry::load_row& row, steady_time now)
{
    m_otherGatewayLoadsAt = now;
    m_hasOtherGatewayLoads = !row.empty() && row.size() == m_targets.size();
    if (!m_hasOtherGatewayLoads)
        return;
    auto work = row.begin();
    for (auto& [id, target] : m_targets) {
        target.otherGatewaysTokenLayers = *work++ * loadUnit;
        target.tokenLayersAtReport = target.tokenLayers;
    }
}

registry::load_row target_pool::loads() const
{
    registry::load_row row;
    if (m_targets.size() > registry::mostTargetsTold)
        return row;
    row.reserve(m_targets.size());
    for (const auto& [id, target] : m_targets)
        row.push_back(static_cast<std::uint32_t>(std::lround(target.tokenLayers / loadUnit)));
    return row;
}

void target_pool::addPrefill(const selection& chosen, double promptTokens)
{
    const selected_part* before = nullptr;
    for (const auto& part : chosen.parts) {
        const auto found = m_targets.find(part.target);
        if (found != m_targets.end()) {
            auto& unread = found->second.prefillTokenLayers;
            unread = std::max(0.0, unread + promptTokens * part.layers.size());
        }
        const auto between
            = before == nullptr ? std::pair<std::size_t, std::size_t>() : std::pair(before->domain, part.domain);
        if (between.first != between.second) {
            auto& waiting = m_prefillCrossings[between];
            waiting = std::max(0.0, waiting + promptTokens);
        }
        before = &part;
    }
}

void target_pool::attemptStarted(const selection& chosen, const request_size& size)
{
    ++m_openAttempts;
    addPrefill(chosen, size.promptTokens);
    for (const auto& part : chosen.parts) {
        const auto found = m_targets.find(part.target);
        if (found == m_targets.end())
            continue;
        found->second.sequences += 1;
        found->second.tokenLayers += expectedTokens(found->second, size) * part.layers.size();
    }
}

void target_pool::prefillFinished(const selection& chosen, const request_size& size)
{
    addPrefill(chosen, -size.promptTokens);
}

void target_pool::attemptEnded(const selection& chosen, const request_size& size, bool isPrefillFinished)
{
    m_openAttempts -= m_openAttempts > 0 ? 1 : 0;
    if (!isPrefillFinished)
        addPrefill(chosen, -size.promptTokens);
    for (const auto& part : chosen.parts) {
        const auto found = m_targets.find(part.target);
        if (found == m_targets.end())
            continue;
        auto& target = found->second;
        target.sequences = std::max(0.0, target.sequences - 1);
        target.tokenLayers = std::max(0.0, target.tokenLayers - expectedTokens(target, size) * part.layers.size());
    }
}

} // namespace buckthornrail::gateway
