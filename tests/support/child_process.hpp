/// @file
/// @brief Starting and ending real processes by their ids.
#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace test_support {

/// @brief "127.0.0.1:port" that stays reserved until this process ends, for listeners that allow the reuse of
/// addresses. @param ip another loopback address
std::string freeAddress(const std::string& ip = "127.0.0.1");

/// @brief Path of a program that this build made.
std::string binaryPath(const std::string& name);

/// @brief Starts a program with its output appended to a file. Throws when it can't.
pid_t spawnProcess(const std::vector<std::string>& command, const std::string& log);

/// @return the exit status, -1 when it didn't end in time, -signal when a signal ended it
int waitForProcess(pid_t pid, std::chrono::milliseconds timeout);

/// @brief Polls until a condition holds. @return false when it did not in time
bool waitUntil(const std::function<bool()>& condition, std::chrono::milliseconds timeout);

/// @brief A whole file; empty when there is none.
std::string readFile(const std::string& file);

} // namespace test_support
