/// @file
/// @brief Bounded set of recent values, for detecting duplicates.
#pragma once

#include <cstddef>
#include <deque>
#include <set>

namespace buckthornrail {

/// @brief Set of limited size that evicts the oldest value. A repeated value keeps its place in the order.
template <typename Value> class recent_set {
public:
    explicit recent_set(std::size_t limit)
        : m_limit(limit)
    {
    }

    /// @brief Inserts a value, evicting the oldest one if the set is full. @return true if the set contained it already
    bool testAndInsert(const Value& value)
    {
        if (!m_known.insert(value).second)
            return true;
        m_order.push_back(value);
        if (m_order.size() > m_limit) {
            m_known.erase(m_order.front());
            m_order.pop_front();
        }
        return false;
    }

    /// @brief All values, oldest first.
    [[nodiscard]] const std::deque<Value>& values() const { return m_order; }

    /// @brief Replaces all values. @param values oldest first
    void assign(std::deque<Value> values)
    {
        m_known = std::set<Value>(values.begin(), values.end());
        m_order = std::move(values);
    }

private:
    std::size_t m_limit;
    std::set<Value> m_known;
    std::deque<Value> m_order;
};

} // namespace buckthornrail
