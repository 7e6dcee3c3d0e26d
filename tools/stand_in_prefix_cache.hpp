/// @file
/// @brief A stand-in's cache of prompts.
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

/// Prompt prefixes that need no prefill, the least recently used one goes first.
class prefix_cache {
public:
    explicit prefix_cache(std::uint32_t entries)
        : m_entries(entries)
    {
    }
    /// @return true when the prompt's beginning was known; it is known afterwards.
    bool touch(const std::string& prompt)
    {
        const std::scoped_lock lock(m_mutex);
        const std::uint64_t key = embed(prompt.substr(0, prefixBytes));
        const auto found = std::find(m_recent.begin(), m_recent.end(), key);
        const bool known = found != m_recent.end();
        if (known)
            m_recent.erase(found);
        m_recent.push_front(key);
        if (!known)
            note("stored", key);
        if (m_recent.size() > m_entries) {
            note("evicted", m_recent.back());
            m_recent.pop_back();
        }
        return known;
    }

    /// Events with a sequence number, as engines publish them: late, and with gaps.
    nlohmann::json events(buckthornrail::steady_time now, buckthornrail::milliseconds lag, std::uint32_t gap)
    {
        const std::scoped_lock lock(m_mutex);
        nlohmann::json list = nlohmann::json::array();
        for (const auto& one : m_events) {
            if (one.at + lag <= now && (gap == 0 || one.sequence % gap != 0))
                list.push_back({ { "sequence", one.sequence }, { "event", one.name }, { "prefix", one.key } });
        }
        return list;
    }

private:
    struct cache_event {
        std::uint64_t sequence = 0;
        const char* name = "";
        std::uint64_t key = 0;
        buckthornrail::steady_time at {};
    };

    void note(const char* name, std::uint64_t key)
    {
        m_events.push_back({ ++m_sequence, name, key, buckthornrail::boot_clock::now() });
        if (m_events.size() > maxEvents)
            m_events.pop_front();
    }

    static constexpr std::size_t maxEvents = 256;
    static constexpr std::size_t prefixBytes = 256;
    std::list<cache_event> m_events;
    std::uint64_t m_sequence = 0;
    std::mutex m_mutex;
    std::uint32_t m_entries;
    std::list<std::uint64_t> m_recent;
};

} // namespace stand_in
