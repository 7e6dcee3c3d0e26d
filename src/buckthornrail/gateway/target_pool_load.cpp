/// @file
/// @brief Work at targets, of this gateway and of all, and what it makes them cost.
#include "buckthornrail/gateway/target_pool.hpp"

#include <algorithm>
#include <cmath>

namespace buckthornrail::gateway {
namespace {

/// From this share of its memory on a target costs more, and at a whole memory as much as two crossings between
/// domains: a full engine preempts requests, and refuses new ones.
constexpr double comfortableMemory = 0.75;
constexpr double fullMemoryMs = 160;
constexpr double mostCrowdingMs = 600; ///< less than a target that refused just now
/// Prompts that take so long to read at a target may wait there; what is beyond it counts as much as it takes. Latency
/// targets of first events are 500 ms and more.
constexpr double comfortableReadMs = 60;
constexpr double loadUnit = 1000; ///< of load_row

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

double target_pool::allSequences(const pool_target& target, const layered_engine& engine) const
{
    const double each = (engine.usualPromptTokens + engine.usualAnswerTokens) * target.record.layers.size();
    if (!m_loadsAreTold || each <= 0)
        return target.sequences * loadScale();
    return target.sequences + (allTokenLayers(target) - target.tokenLayers) / each;
}

double target_pool::crowdingMs(const pool_target& target) const
{
    const double used = target.memoryTokenLayers > 0 ? allTokenLayers(target) / target.memoryTokenLayers : 1;
    const double full = std::max(0.0, used - comfortableMemory) / (1 - comfortableMemory);
    const double readMs = target.unreadTokenLayers * target.readMsPerTokenLayer * peers();
    return std::min(mostCrowdingMs, full * fullMemoryMs) + std::max(0.0, readMs - comfortableReadMs);
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

void target_pool::setOthersLoads(const registry::load_row& row)
{
    m_loadsAreTold = !row.empty() && row.size() == m_targets.size();
    if (!m_loadsAreTold)
        return;
    auto work = row.begin();
    for (auto& [id, target] : m_targets) {
        target.othersTokenLayers = *work++ * loadUnit;
        target.tokenLayersWhenTold = target.tokenLayers;
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

std::size_t target_pool::domainOf(const std::string& targetId) const
{
    const auto found = m_targets.find(targetId);
    return found == m_targets.end() ? 0 : found->second.domain;
}

void target_pool::countUnread(const selection& chosen, double promptTokens)
{
    const selected_part* before = nullptr;
    for (const auto& part : chosen.parts) {
        const auto found = m_targets.find(part.targetId);
        if (found != m_targets.end()) {
            auto& unread = found->second.unreadTokenLayers;
            unread = std::max(0.0, unread + promptTokens * part.layers.size());
        }
        const auto between = before == nullptr ? std::pair<std::size_t, std::size_t>()
                                               : std::pair(domainOf(before->targetId), domainOf(part.targetId));
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
        const auto found = m_targets.find(part.targetId);
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
        const auto found = m_targets.find(part.targetId);
        if (found == m_targets.end())
            continue;
        auto& target = found->second;
        target.sequences = std::max(0.0, target.sequences - 1);
        target.tokenLayers = std::max(0.0, target.tokenLayers - expectedTokens(target, size) * part.layers.size());
    }
}

} // namespace buckthornrail::gateway
