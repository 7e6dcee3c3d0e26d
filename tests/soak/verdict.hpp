/// @file
/// @brief What a soak finds to be wrong.
#pragma once

#include <iostream>
#include <mutex>
#include <string>
#include <vector>

namespace test_support {

/// What is found to be wrong, told once each.
class verdict {
public:
    void broken(const std::string& what)
    {
        const std::scoped_lock lock(m_mutex);
        m_broken.push_back(what);
        std::cout << "BROKEN " << what << std::endl;
    }
    [[nodiscard]] std::size_t count() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_broken.size();
    }

private:
    mutable std::mutex m_mutex;
    std::vector<std::string> m_broken;
};

} // namespace test_support
