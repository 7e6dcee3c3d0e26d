/// @file
/// @brief Starts and waits for processes, and reserves ports.
#include "support/child_process.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char** environ;

namespace test_support {

std::string freeAddress(const std::string& ip)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const int reuseAddress = 1;
    sockaddr_in address {};
    address.sin_family = AF_INET;
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    socklen_t size = sizeof address;
    const bool isBound = ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuseAddress, sizeof reuseAddress) == 0
        && ::bind(fd, reinterpret_cast<sockaddr*>(&address), size) == 0
        && ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    if (!isBound)
        throw std::runtime_error("cannot reserve a port on " + ip);
    // The socket stays bound, without listening, until this process exits. The kernel gives other processes other
    // ports, also for outgoing connections, while a listener that sets SO_REUSEADDR can still bind this one.
    return ip + ":" + std::to_string(ntohs(address.sin_port));
}

std::string binaryPath(const std::string& name) { return std::string(BUCKTHORNRAIL_BUILD_DIR) + "/" + name; }

pid_t spawnProcess(const std::vector<std::string>& command, const std::string& log)
{
    std::vector<char*> arguments;
    for (const auto& argument : command)
        arguments.push_back(const_cast<char*>(argument.c_str()));
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 2, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&files, 2, 1);
    // Closes inherited descriptors. A stand-in's listener that a child holds would keep listening after the stand-in
    // closed it: connections would be accepted and never get a response.
    constexpr int firstInherited = 3;
    posix_spawn_file_actions_addclosefrom_np(&files, firstInherited);
    pid_t pid = 0;
    if (posix_spawn(&pid, command.front().c_str(), &files, nullptr, arguments.data(), environ) != 0)
        throw std::runtime_error("cannot start " + command.front());
    posix_spawn_file_actions_destroy(&files);
    return pid;
}

int waitForProcess(pid_t pid, std::chrono::milliseconds timeout)
{
    int status = 0;
    if (!waitUntil([&] { return ::waitpid(pid, &status, WNOHANG) == pid; }, timeout))
        return -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

bool waitUntil(const std::function<bool()>& condition, std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
}

std::string readFile(const std::string& file)
{
    std::ifstream stream(file);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

} // namespace test_support
