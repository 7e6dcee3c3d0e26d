/// @file
/// @brief Counts of parts over the most recent sound requests.
#include "buckthornrail/gateway/sound_parts.hpp"

namespace buckthornrail::gateway {
namespace {

/// Sound requests, and those of them with a given part, that are assumed while few are known.
constexpr double priorRequests = 6;
constexpr double priorCount = 0.1;

} // namespace

void sound_parts::record(std::vector<request_fingerprint> parts)
{
    for (const auto& part : parts)
        ++m_counts[part];
    m_requests.push_back(std::move(parts));
    if (m_requests.size() <= m_options.maxRequests)
        return;
    for (const auto& part : m_requests.front()) {
        const auto found = m_counts.find(part);
        if (--found->second == 0)
            m_counts.erase(found);
    }
    m_requests.pop_front();
}

double sound_parts::shareOf(const request_fingerprint& part, std::size_t others, std::size_t othersWithPart) const
{
    const auto found = m_counts.find(part);
    const std::size_t known = found == m_counts.end() ? 0 : found->second;
    const double count = static_cast<double>(known + othersWithPart) + priorCount;
    return count / (static_cast<double>(m_requests.size() + others) + priorRequests);
}

} // namespace buckthornrail::gateway
