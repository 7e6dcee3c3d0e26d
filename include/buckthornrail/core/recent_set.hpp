/// @file
/// @brief A bounded memory of what came lately.
#pragma once

#include <cstddef>
#include <deque>
#include <set>

namespace buckthornrail {

/// @brief Remembers the latest values, a bounded number of them, in order of their first coming.
template <typename Value> class recent_set {
public:
    explicit recent_set(std::size_t limit)
        : m_limit(limit)
    {
    }

    /// @brief Notes a value. @return true when it was noted before and is still remembered
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

    /// @brief What is remembered, oldest first.
    [[nodiscard]] const std::deque<Value>& values() const { return m_order; }

    /// @brief Replaces what is remembered.
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
