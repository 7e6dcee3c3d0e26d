/// @file
/// @brief Violations that a soak test finds.
#pragma once

#include <iostream>
#include <mutex>
#include <string>
#include <vector>

namespace test_support {

/// @brief Prints and counts violations. Thread-safe.
class violation_log {
public:
    void report(const std::string& description)
    {
        const std::scoped_lock lock(m_mutex);
        m_entries.push_back(description);
        std::cout << "BROKEN " << description << std::endl;
    }
    [[nodiscard]] std::size_t count() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_entries.size();
    }

private:
    mutable std::mutex m_mutex;
    std::vector<std::string> m_entries;
};

} // namespace test_support
