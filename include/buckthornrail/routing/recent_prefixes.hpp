/// @file
/// @brief Which prompt beginnings came before: only those are worth keeping to a target.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_set>

namespace buckthornrail::routing {

/// @brief Remembers the latest hashes, a bounded number of them.
/// @ingroup routing
class recent_prefixes {
public:
    explicit recent_prefixes(std::size_t limit = 4096)
        : m_limit(limit)
    {
    }

    /// @brief Notes a hash. @return true when it was noted before and is still remembered
    bool note(std::uint64_t hash)
    {
        if (!m_known.insert(hash).second)
            return true;
        m_order.push_back(hash);
        if (m_order.size() > m_limit) {
            m_known.erase(m_order.front());
            m_order.pop_front();
        }
        return false;
    }

private:
    std::size_t m_limit;
    std::unordered_set<std::uint64_t> m_known;
    std::deque<std::uint64_t> m_order; ///< oldest first
};

} // namespace buckthornrail::routing
