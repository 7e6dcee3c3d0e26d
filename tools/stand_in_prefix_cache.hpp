/// @file
/// @brief Prefix cache of the stand-in target.
#pragma once

#include "buckthornrail/core/clock.hpp"
#include "stand_in_model.hpp"

#include <algorithm>
#include <cstdint>
#include <list>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace stand_in {

/// LRU cache of prompt prefixes that need no prefill. Keys are hashes of the first `prefixBytes` bytes of a prompt.
class prefix_cache {
public:
    explicit prefix_cache(std::uint32_t capacity)
        : m_capacity(capacity)
    {
    }
    /// @brief Looks a prompt's prefix up, and inserts it or marks it as the most recently used.
    /// @return true when the prefix was cached already
    bool touch(const std::string& prompt)
    {
        const std::scoped_lock lock(m_mutex);
        const std::uint64_t key = embed(prompt.substr(0, prefixBytes));
        const auto found = std::find(m_recentKeys.begin(), m_recentKeys.end(), key);
        const bool isCached = found != m_recentKeys.end();
        if (isCached)
            m_recentKeys.erase(found);
        m_recentKeys.push_front(key);
        if (!isCached)
            recordEvent("stored", key);
        if (m_recentKeys.size() > m_capacity) {
            recordEvent("evicted", m_recentKeys.back());
            m_recentKeys.pop_back();
        }
        return isCached;
    }

    /// @brief The last events with their sequence numbers, late and with gaps, as real engines publish them.
    /// @param lag age at which an event becomes visible
    /// @param skipInterval every event whose sequence number is a multiple is left out; 0: none
    nlohmann::json events(buckthornrail::steady_time now, buckthornrail::milliseconds lag, std::uint32_t skipInterval)
    {
        const std::scoped_lock lock(m_mutex);
        nlohmann::json list = nlohmann::json::array();
        for (const auto& event : m_events) {
            if (event.recordedAt + lag <= now && (skipInterval == 0 || event.sequence % skipInterval != 0))
                list.push_back({ { "sequence", event.sequence }, { "event", event.name }, { "prefix", event.key } });
        }
        return list;
    }

private:
    struct cache_event {
        std::uint64_t sequence = 0;
        const char* name = "";
        std::uint64_t key = 0;
        buckthornrail::steady_time recordedAt {};
    };

    void recordEvent(const char* name, std::uint64_t key)
    {
        m_events.push_back({ ++m_sequence, name, key, buckthornrail::boot_clock::now() });
        if (m_events.size() > maxEvents)
            m_events.pop_front();
    }

    static constexpr std::size_t maxEvents = 256; ///< older events are dropped
    static constexpr std::size_t prefixBytes = 256;
    std::list<cache_event> m_events;
    std::uint64_t m_sequence = 0;
    std::mutex m_mutex;
    std::uint32_t m_capacity;
    std::list<std::uint64_t> m_recentKeys;
};

} // namespace stand_in
