/// @file
/// @brief Eviction of the largest open messages.
#include "buckthornrail/core/memory_budget.hpp"

namespace buckthornrail {

void memory_budget::evictBeyondLimit()
{
    while (m_used > m_limit) {
        memory_lease* largest = nullptr;
        for (auto* lease = m_first; lease != nullptr; lease = lease->m_next) {
            if (!lease->m_isPinned && (largest == nullptr || lease->m_bytes > largest->m_bytes))
                largest = lease;
        }
        if (largest == nullptr || largest->m_bytes == 0)
            return;
        m_used -= std::exchange(largest->m_bytes, 0);
        if (auto* flag = std::exchange(largest->m_wasEvicted, nullptr))
            *flag = true;
        const auto onEvicted = largest->m_onEvicted; // the owner may destroy the lease
        onEvicted();
    }
}

memory_lease::memory_lease(memory_budget& budget, std::function<void()> onEvicted)
    : m_budget(budget)
    , m_onEvicted(std::move(onEvicted))
    , m_next(budget.m_first)
{
    if (m_next != nullptr)
        m_next->m_previous = this;
    budget.m_first = this;
}

memory_lease::~memory_lease()
{
    m_budget.m_used -= m_bytes;
    (m_previous != nullptr ? m_previous->m_next : m_budget.m_first) = m_next;
    if (m_next != nullptr)
        m_next->m_previous = m_previous;
}

bool memory_lease::resize(std::size_t bytes)
{
    m_budget.m_used += bytes - m_bytes;
    m_bytes = bytes;
    bool wasEvicted = false;
    m_wasEvicted = &wasEvicted;
    m_budget.evictBeyondLimit();
    if (!wasEvicted)
        m_wasEvicted = nullptr;
    return !wasEvicted;
}

} // namespace buckthornrail
