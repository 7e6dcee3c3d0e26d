/// @file
/// @brief Bounds the memory of all messages that are open at the same time. Does no I/O.
#pragma once

#include <cstddef>
#include <functional>
#include <utility>

namespace buckthornrail {

class memory_lease;

/// @brief Bytes that open messages hold together. When they exceed the limit, the largest messages are evicted, so that
/// small ones go on beside a sender that never ends. Not thread-safe.
/// @ingroup core
class memory_budget {
public:
    /// @param limit in bytes
    explicit memory_budget(std::size_t limit)
        : m_limit(limit)
    {
    }
    memory_budget(const memory_budget&) = delete;
    memory_budget& operator=(const memory_budget&) = delete;
    ~memory_budget() = default;

    [[nodiscard]] std::size_t limit() const { return m_limit; }
    [[nodiscard]] std::size_t used() const { return m_used; }
    /// @brief Sets the limit. It applies from the next change of a message's size on.
    void setLimit(std::size_t limit) { m_limit = limit; }

private:
    friend class memory_lease;
    void evictBeyondLimit();

    std::size_t m_limit;
    std::size_t m_used = 0;
    memory_lease* m_first = nullptr; ///< of the leases, an intrusive list
};

/// @brief The part of one message in a memory_budget. Its owner tells how many bytes it holds.
class memory_lease {
public:
    /// @param budget must outlive the lease
    /// @param onEvicted the owner is to drop what it holds; the lease has no bytes any more. It may destroy the lease.
    memory_lease(memory_budget& budget, std::function<void()> onEvicted);
    memory_lease(const memory_lease&) = delete;
    memory_lease& operator=(const memory_lease&) = delete;
    ~memory_lease();

    /// @brief States how many bytes are held now. May evict other leases, and this one.
    /// @return false: this lease was evicted
    bool resize(std::size_t bytes);
    [[nodiscard]] std::size_t bytes() const { return m_bytes; }
    /// @brief While pinned, the lease counts but isn't evicted: its owner can't do without what it holds.
    void setPinned(bool isPinned) { m_isPinned = isPinned; }

private:
    friend class memory_budget;

    memory_budget& m_budget;
    std::function<void()> m_onEvicted;
    std::size_t m_bytes = 0;
    bool m_isPinned = false;
    memory_lease* m_previous = nullptr;
    memory_lease* m_next = nullptr;
    bool* m_wasEvicted = nullptr; ///< set by an eviction during resize(), which the lease may not survive
};

} // namespace buckthornrail
