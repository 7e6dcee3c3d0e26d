/// @file
/// @brief Child processes, loopback ports, polling and files for tests that run real programs.
#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace test_support {

/// @brief Reserves a port until this process exits. Listeners that set SO_REUSEADDR can bind it.
/// @param ip a loopback address @return "ip:port"
/// @throws std::runtime_error if no port can be reserved
std::string freeAddress(const std::string& ip = "127.0.0.1");

/// @brief Path of a file in the build folder.
std::string binaryPath(const std::string& name);

/// @brief Starts a program. @param command path and arguments @param log file to which its output is appended
/// @throws std::runtime_error if it can't be started
pid_t spawnProcess(const std::vector<std::string>& command, const std::string& log);

/// @return the exit status, -1 if the process didn't exit before the timeout, -signal if a signal terminated it
int waitForProcess(pid_t pid, std::chrono::milliseconds timeout);

/// @brief Polls a condition every 10 ms until it holds. @return false if it didn't hold before the timeout
bool waitUntil(const std::function<bool()>& condition, std::chrono::milliseconds timeout);

/// @return the content of a file; empty if it can't be read
std::string readFile(const std::string& file);

} // namespace test_support
