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
constexpr double overbooking = 0.3;
constexpr double mostCrowdingMs = 600; ///< less than a target that refused just now
/// Prompts that take so long to read at a target may wait there; what is beyond it counts as much as it takes. Latency
/// targets of first events are 500 ms and more.
constexpr double comfortableReadMs = 60;
constexpr double loadUnit = 1000; ///< of target_loads
/// Nobody is refused by loads that were told longer ago: gateways tell them every 100 ms, and without a leader for a
/// second nobody does; half of what was open then has ended.
constexpr milliseconds loadsKeep { 1000 };
/// The rate of choices is an average over about so long: a few residence times of a stream.
constexpr double rateSeconds = 5;

} // namespace

double target_pool::peers() const { return std::max(1.0, m_gateways / static_cast<double>(m_domains.size())); }

double target_pool::allTokenLayers(const pool_target& target) const
{
    if (!m_loadsAreTold)
        return target.tokenLayers * loadScale();
    // What came on here since the others told came on at other gateways too: they leave a dead member together.
    const double grown = std::max(0.0, target.tokenLayers - target.tokenLayersWhenTold);
    return target.tokenLayers + target.othersTokenLayers + grown * (peers() - 1);
}

target_pool::pass_time target_pool::passTime(const pool_target& target, const layered_engine& engine) const
{
    const double usualTokens = engine.usualPromptTokens + engine.usualAnswerTokens;
    const double tokenLayers = allTokenLayers(target);
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

double target_pool::fullnessOf(const pool_target& target) const
{
    return target.memoryTokenLayers > 0 ? allTokenLayers(target) / target.memoryTokenLayers : 1;
}

bool target_pool::hasRoom(const pool_target& target, steady_time now) const
{
    const bool isKnown = m_loadsAreTold && now <= m_loadsToldAt + loadsKeep;
    return !isKnown || fullnessOf(target) <= 1 + overbooking / peers();
}

double target_pool::crowdingMs(const pool_target& target, double comfortableMemory) const
{
    const double full = std::max(0.0, fullnessOf(target) - comfortableMemory) / (1 - comfortableMemory);
    const double readMs = target.unreadTokenLayers * target.readMsPerTokenLayer * peers();
    return std::min(mostCrowdingMs, full * fullMemoryMs) + std::max(0.0, readMs - comfortableReadMs);
}

void target_pool::countChoice(steady_time now)
{
    const std::chrono::duration<double> since = now - std::exchange(m_lastChoice, now);
    m_choicesPerSecond = m_choicesPerSecond * std::exp(-since.count() / rateSeconds) + 1 / rateSeconds;
}

double target_pool::crossingMs(const layered_engine& engine) const
{
    // Gateways see the same crowded members and cross together: what counts is the pipe's use if all traffic did.
    constexpr double msPerSecond = 1000;
    const double promptMs = engine.usualPromptTokens * engine.pipeMsPerToken();
    const double pipeUse = m_choicesPerSecond * m_gateways * promptMs / msPerSecond;
    return path_costs().crossingMs * std::max(1.0, pipeUse);
}

std::vector<double> target_pool::pipeWaits(const layered_engine& engine) const
{
    const std::size_t count = m_domains.size();
    std::vector<double> waits(count * count, 0);
    const double msPerToken = engine.pipeMsPerToken();
    for (const auto& [between, tokens] : m_unreadOverPipe)
        waits[between.first * count + between.second] = tokens * msPerToken * peers();
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

void target_pool::setOthers(std::size_t gateways, std::size_t openAttempts)
{
    m_gateways = static_cast<double>(std::max<std::size_t>(gateways, 1));
    m_othersOpenAttempts = static_cast<double>(openAttempts);
}

void target_pool::setOthersLoads(const registry::target_loads& row, steady_time now)
{
    m_loadsToldAt = now;
    m_loadsAreTold = !row.empty() && row.size() == m_targets.size();
    if (!m_loadsAreTold)
        return;
    auto work = row.begin();
    for (auto& [id, target] : m_targets) {
        target.othersTokenLayers = *work++ * loadUnit;
        target.tokenLayersWhenTold = target.tokenLayers;
    }
}

registry::target_loads target_pool::loads() const
{
    registry::target_loads row;
    if (m_targets.size() > registry::maxTargetsInLoadReport)
        return row;
    row.reserve(m_targets.size());
    for (const auto& [id, target] : m_targets)
        row.push_back(static_cast<std::uint32_t>(std::lround(target.tokenLayers / loadUnit)));
    return row;
}

void target_pool::countUnread(const selection& chosen, double promptTokens)
{
    const selected_part* before = nullptr;
    for (const auto& part : chosen.parts) {
        const auto found = m_targets.find(part.target);
        if (found != m_targets.end()) {
            auto& unread = found->second.unreadTokenLayers;
            unread = std::max(0.0, unread + promptTokens * part.layers.size());
        }
        const auto between
            = before == nullptr ? std::pair<std::size_t, std::size_t>() : std::pair(before->domain, part.domain);
        if (between.first != between.second) {
            auto& waiting = m_unreadOverPipe[between];
            waiting = std::max(0.0, waiting + promptTokens);
        }
        before = &part;
    }
}

void target_pool::began(const selection& chosen, const request_size& size)
{
    ++m_openAttempts;
    countUnread(chosen, size.promptTokens);
    for (const auto& part : chosen.parts) {
        const auto found = m_targets.find(part.target);
        if (found == m_targets.end())
            continue;
        found->second.sequences += 1;
        found->second.tokenLayers += expectedTokens(found->second, size) * part.layers.size();
    }
}

void target_pool::promptRead(const selection& chosen, const request_size& size)
{
    countUnread(chosen, -size.promptTokens);
}

void target_pool::ended(const selection& chosen, const request_size& size, bool wasRead)
{
    m_openAttempts -= m_openAttempts > 0 ? 1 : 0;
    if (!wasRead)
        countUnread(chosen, -size.promptTokens);
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
