/// @file
/// @brief Execution log of the stand-in target.
#pragma once

#include <fcntl.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <unistd.h>

namespace stand_in {

/// Appends JSON lines to a file. Each line is one write() with O_APPEND, so that several processes can share the file.
class execution_log {
public:
    explicit execution_log(const std::string& file)
        : m_fd(file.empty() ? -1 : ::open(file.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644))
    {
    }
    execution_log(const execution_log&) = delete;
    execution_log& operator=(const execution_log&) = delete;
    ~execution_log()
    {
        if (m_fd >= 0)
            ::close(m_fd);
    }
    void append(const nlohmann::json& row) const
    {
        const std::string line = row.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
        if (m_fd >= 0 && ::write(m_fd, line.data(), line.size()) < 0)
            std::cerr << "cannot write to the execution log\n";
    }

private:
    int m_fd;
};

} // namespace stand_in
