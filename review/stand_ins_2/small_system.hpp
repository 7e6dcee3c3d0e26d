/// @file
/// @brief A small deployment on loopback: the project's own programs as processes, and stand-ins for the platform, the
/// servers and the clients. Each machine has a loopback address of its own; ports are the same on all machines.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

enum exit_code { heldCode = 0, brokenCode = 1, couldNotRunCode = 2 };

/// The case could not be set up; the program exits with code 2.
struct could_not_run {
    std::string reason;
};

/// Writes record.txt, one line for each event, with the milliseconds since the start.
class recorder {
public:
    explicit recorder(const std::string& file)
        : m_out(file, std::ios::trunc)
        , m_start(steady::now())
    {
    }
    [[nodiscard]] long now() const
    {
        return static_cast<long>(std::chrono::duration_cast<ms>(steady::now() - m_start).count());
    }
    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard lock(m_mutex);
        m_out << now() << " " << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    steady::time_point m_start;
};

inline sockaddr_in endpoint(const std::string& ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// How the other side ended a channel, or that it didn't.
enum class channel_end { Open, Closed, Reset, TimedOut };

/// A TCP channel with blocking calls and deadlines.
class channel {
public:
    explicit channel(int fd = -1)
        : m_fd(fd)
    {
    }
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;
    ~channel() { close(); }

    bool connect(const std::string& ip, int port, ms timeout, int receiveBuffer = 0)
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (receiveBuffer > 0)
            setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
        fcntl(m_fd, F_SETFL, O_NONBLOCK);
        const auto to = endpoint(ip, port);
        if (::connect(m_fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 && errno != EINPROGRESS)
            return false;
        if (!await(POLLOUT, steady::now() + timeout))
            return false;
        int error = 0;
        socklen_t size = sizeof error;
        getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &size);
        const int on = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return error == 0;
    }

    bool write(const std::string& bytes, steady::time_point deadline)
    {
        std::size_t done = 0;
        while (done < bytes.size()) {
            const auto count = ::send(m_fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count > 0) {
                done += static_cast<std::size_t>(count);
                continue;
            }
            if (errno != EAGAIN || !await(POLLOUT, deadline))
                return false;
        }
        return true;
    }

    /// Reads what has arrived, at most `most` bytes, into the buffer. @return false at the end or the deadline
    bool read(steady::time_point deadline, std::size_t most = 65536)
    {
        if (!await(POLLIN, deadline)) {
            m_end = channel_end::TimedOut;
            return false;
        }
        std::string part(most, '\0');
        const auto count = ::recv(m_fd, part.data(), most, MSG_DONTWAIT);
        if (count > 0) {
            m_buffer.append(part.data(), static_cast<std::size_t>(count));
            return true;
        }
        if (count < 0 && errno == EAGAIN)
            return true;
        m_end = count == 0 ? channel_end::Closed : channel_end::Reset;
        return false;
    }

    void reset()
    {
        const linger now { 1, 0 };
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }
    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
    }
    std::string& buffer() { return m_buffer; }
    [[nodiscard]] channel_end end() const { return m_end; }
    [[nodiscard]] int fd() const { return m_fd; }

private:
    bool await(short events, steady::time_point deadline) const
    {
        const auto left = std::chrono::duration_cast<ms>(deadline - steady::now()).count();
        pollfd watched { m_fd, events, 0 };
        return poll(&watched, 1, static_cast<int>(std::max<long>(left, 0))) > 0;
    }

    int m_fd;
    std::string m_buffer;
    channel_end m_end = channel_end::Open;
};

/// An HTTP/1.1 message with a length; `whole` is false when the channel ended before it was complete.
struct message {
    std::string startLine;
    std::map<std::string, std::string> fields; ///< names in lower case
    std::string body;
    std::size_t bodyLength = 0; ///< as stated
    bool whole = false;

    [[nodiscard]] std::string field(const std::string& name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
    [[nodiscard]] int status() const { return startLine.size() < 12 ? 0 : std::atoi(startLine.c_str() + 9); }
    [[nodiscard]] std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    [[nodiscard]] std::string target() const
    {
        const auto begin = startLine.find(' ') + 1;
        return startLine.substr(begin, startLine.find(' ', begin) - begin);
    }
};

/// @param bytesPerSecond limits how fast the body is read; 0: no limit
inline message readMessage(channel& from, steady::time_point deadline, std::size_t bytesPerSecond = 0)
{
    message read;
    std::size_t headEnd = std::string::npos;
    const std::size_t firstPart = bytesPerSecond > 0 ? 4096 : 65536;
    while ((headEnd = from.buffer().find("\r\n\r\n")) == std::string::npos) {
        if (!from.read(deadline, firstPart))
            return read;
    }
    std::istringstream head(from.buffer().substr(0, headEnd + 2));
    from.buffer().erase(0, headEnd + 4);
    std::string line;
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        if (read.startLine.empty()) {
            read.startLine = line;
            continue;
        }
        const auto colon = line.find(':');
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        read.fields[name] = line.substr(std::min(line.size(), line.find_first_not_of(' ', colon + 1)));
    }
    read.bodyLength = std::strtoul(read.field("content-length").c_str(), nullptr, 10);
    const auto start = steady::now();
    while (from.buffer().size() < read.bodyLength) {
        if (bytesPerSecond > 0) {
            const double due = static_cast<double>(from.buffer().size()) / static_cast<double>(bytesPerSecond);
            std::this_thread::sleep_until(
                start + std::chrono::duration_cast<steady::duration>(std::chrono::duration<double>(due)));
        }
        if (!from.read(deadline, std::min<std::size_t>(16384, read.bodyLength - from.buffer().size()))) {
            read.body = std::exchange(from.buffer(), {});
            return read;
        }
    }
    read.body = from.buffer().substr(0, read.bodyLength);
    from.buffer().erase(0, read.bodyLength);
    read.whole = true;
    return read;
}

/// One call on a channel of its own. @return the response; status 0 when none came
inline message call(const std::string& ip, int port, const std::string& method, const std::string& target,
    const std::string& body, ms timeout)
{
    channel to;
    const auto deadline = steady::now() + timeout;
    if (!to.connect(ip, port, timeout))
        return {};
    to.write(method + " " + target + " HTTP/1.1\r\nHost: " + ip
            + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
            + "\r\nConnection: close\r\n\r\n" + body,
        deadline);
    return readMessage(to, deadline);
}

/// A child process that is killed at the end of the case.
class child {
public:
    child(const std::vector<std::string>& words, const std::string& log)
    {
        m_pid = fork();
        if (m_pid != 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL); // it doesn't outlive the case
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(out, 1);
        dup2(out, 2);
        std::vector<char*> arguments;
        for (const auto& word : words)
            arguments.push_back(const_cast<char*>(word.c_str()));
        arguments.push_back(nullptr);
        execv(arguments.front(), arguments.data());
        _exit(127);
    }
    child(const child&) = delete;
    child& operator=(const child&) = delete;
    ~child()
    {
        signal(SIGKILL);
        (void)waitFor(ms(5000));
    }
    void signal(int number)
    {
        if (!m_hasEnded)
            kill(m_pid, number);
    }
    bool waitFor(ms timeout)
    {
        const auto deadline = steady::now() + timeout;
        while (!m_hasEnded) {
            if (waitpid(m_pid, &m_status, WNOHANG) == m_pid)
                m_hasEnded = true;
            else if (steady::now() >= deadline)
                return false;
            else
                std::this_thread::sleep_for(ms(2));
        }
        return true;
    }
    [[nodiscard]] int status() const { return m_status; }

private:
    pid_t m_pid = 0;
    int m_status = 0;
    bool m_hasEnded = false;
};

/// A model or plain service's server on one address, with a thread for each channel.
class server {
public:
    /// Handles one request; @return false to close the channel
    using handler = std::function<bool(channel&, const message&)>;

    server(std::string ip, int port, handler handle)
        : m_ip(std::move(ip))
        , m_port(port)
        , m_handle(std::move(handle))
    {
        start();
    }
    ~server() { stop(); }

    void start()
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto at = endpoint(m_ip, m_port);
        if (bind(m_listener, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || listen(m_listener, 512) != 0)
            throw could_not_run { "a server can't listen on " + m_ip };
        m_stops = false;
        m_acceptor = std::thread([this] { accept(); });
    }
    /// As a crash: the address refuses channels, and open ones are reset.
    void stop()
    {
        if (m_stops.exchange(true))
            return;
        m_acceptor.join();
        ::close(m_listener);
        {
            const std::lock_guard lock(m_mutex);
            for (const int fd : m_open) {
                const linger now { 1, 0 };
                setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
                shutdown(fd, SHUT_RD);
            }
        }
        while (m_threads > 0)
            std::this_thread::sleep_for(ms(2));
    }
    [[nodiscard]] bool stops() const { return m_stops; }
    [[nodiscard]] const std::string& ip() const { return m_ip; }
    [[nodiscard]] std::string address() const { return m_ip + ":" + std::to_string(m_port); }

private:
    void accept()
    {
        while (!m_stops) {
            pollfd watched { m_listener, POLLIN, 0 };
            if (poll(&watched, 1, 20) <= 0)
                continue;
            const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            {
                const std::lock_guard lock(m_mutex);
                m_open.insert(fd);
            }
            ++m_threads;
            std::thread([this, fd] {
                serve(fd);
                --m_threads;
            }).detach();
        }
    }
    void serve(int fd)
    {
        channel from(fd);
        while (!m_stops) {
            const auto request = readMessage(from, steady::now() + ms(15000));
            if (!request.whole || m_stops || !m_handle(from, request))
                break;
        }
        const std::lock_guard lock(m_mutex);
        m_open.erase(fd);
        from.close();
    }

    std::string m_ip;
    int m_port;
    handler m_handle;
    int m_listener = -1;
    std::atomic<bool> m_stops { true };
    std::atomic<int> m_threads { 0 };
    std::mutex m_mutex;
    std::set<int> m_open;
    std::thread m_acceptor;
};

/// What a server says of itself in its heartbeats.
struct beat {
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    int slots = 6;
    std::string state = "ready";
    long born = 0;
};

/// Three registries and some gateways, with the settings that the platform renders from the project's templates.
class small_system {
public:
    static constexpr int coreCount = 3;
    static constexpr int heartbeatMs = 1200;

    small_system(recorder& record, std::string program, int frontCount)
        : m_record(record)
        , m_program(std::move(program))
        , m_frontCount(frontCount)
    {
        char folder[] = "/tmp/review-XXXXXX";
        m_folder = mkdtemp(folder);
        m_ports = freePorts();
        for (int i = 0; i < coreCount; ++i)
            startCore(i, true);
        for (int i = 0; i < frontCount; ++i)
            startFront(i);
    }
    ~small_system()
    {
        m_processes.clear();
        std::error_code ignored;
        if (std::getenv("KEEP_LOGS") == nullptr)
            std::filesystem::remove_all(m_folder, ignored);
        else
            std::fprintf(stderr, "logs in %s\n", m_folder.c_str());
    }

    static std::string coreIp(int i) { return "127.0.1." + std::to_string(11 + i); }
    static std::string frontIp(int i) { return "127.0.2." + std::to_string(21 + i); }
    static std::string serverIp(int i) { return "127.0.3." + std::to_string(31 + i); }
    static std::string zone(int i) { return "zone-" + std::string(1, static_cast<char>('a' + i % 3)); }
    [[nodiscard]] int controlPort() const { return m_ports; }
    [[nodiscard]] int frontPort() const { return m_ports + 2; }
    [[nodiscard]] int readyPort() const { return m_ports + 3; }
    [[nodiscard]] int serverPort() const { return m_ports + 4; }

    child& core(int i) { return *m_processes.at("core-" + std::to_string(i)); }
    child& front(int i) { return *m_processes.at("front-" + std::to_string(i)); }

    void startCore(int i, bool isFirst)
    {
        std::filesystem::create_directories(m_folder + "/data-" + std::to_string(i));
        start("core-" + std::to_string(i), "platform/registry.ini", coreIp(i), zone(i), isFirst,
            { m_program, "registry", "--settings", "FILE", "--tolerated-losses", "1" });
    }
    void startFront(int i)
    {
        start("front-" + std::to_string(i), "platform/gateway.ini", frontIp(i), zone(i), false,
            { m_program, "gateway", "--settings", "FILE" });
    }

    /// The operator sends a configuration until a daemon acknowledges it.
    void publish(const std::string& document)
    {
        const auto deadline = steady::now() + ms(20000);
        for (int i = 0; steady::now() < deadline; ++i) {
            const auto response = call(coreIp(i % coreCount), controlPort(), "PUT", "/config", document, ms(1000));
            if (response.status() == 200) {
                m_record.line("operator: configuration acknowledged");
                return;
            }
            std::this_thread::sleep_for(ms(200));
        }
        throw could_not_run { "no registry acknowledged the configuration" };
    }

    /// One heartbeat, at any registry that answers. @return whether it was acknowledged
    bool sendBeat(const beat& said)
    {
        static std::atomic<long> sequence { 0 };
        const std::string body = "{\"service\":\"" + said.service + "\",\"address\":\"" + said.address
            + "\",\"zone\":\"" + said.zone + "\",\"version\":\"v1\",\"slots\":" + std::to_string(said.slots)
            + ",\"state\":\"" + said.state + "\",\"cold-left-ms\":0,\"born\":" + std::to_string(said.born)
            + ",\"seq\":" + std::to_string(++sequence) + "}";
        for (int i = 0; i < coreCount; ++i) {
            const auto response = call(coreIp((i + static_cast<int>(said.id.back())) % coreCount), controlPort(), "PUT",
                "/instances/" + said.id, body, ms(1000));
            if (response.status() >= 200 && response.status() < 300)
                return true;
        }
        return false;
    }

    /// Waits until every gateway says that it is ready.
    void awaitReady()
    {
        const auto deadline = steady::now() + ms(20000);
        for (int i = 0; i < m_frontCount; ++i) {
            while (call(frontIp(i), readyPort(), "GET", "/readyz", "", ms(500)).status() != 200) {
                if (steady::now() >= deadline)
                    throw could_not_run { "a gateway did not become ready" };
                std::this_thread::sleep_for(ms(50));
            }
        }
    }

private:
    void start(const std::string& name, const std::string& templateFile, const std::string& ip, const std::string& zone,
        bool isFirst, std::vector<std::string> words)
    {
        std::string seeds;
        for (int i = 0; i < coreCount; ++i)
            seeds += (i == 0 ? "" : ",") + coreIp(i) + ":" + std::to_string(controlPort());
        const std::map<std::string, std::string> values { { "node", name }, { "zone", zone }, { "ip", ip },
            { "listen.control", ip + ":" + std::to_string(controlPort()) },
            { "listen.front", ip + ":" + std::to_string(frontPort()) },
            { "listen.ready", ip + ":" + std::to_string(readyPort()) }, { "port-range.0", std::to_string(m_ports + 1) },
            { "seeds", seeds }, { "bootstrap", isFirst ? "true" : "false" },
            { "heartbeat-ms", std::to_string(heartbeatMs) },
            { "data-dir", m_folder + "/data-" + name.substr(name.rfind('-') + 1) },
            { "bounds.retry-budget-ratio", "0.2" }, { "bounds.budget-slack", "202" },
            { "bounds.budget-window-s", "10" }, { "bounds.grace-s", "8" } };
        std::ifstream in(templateFile);
        if (!in)
            throw could_not_run { "there is no " + templateFile };
        std::string text((std::istreambuf_iterator<char>(in)), {});
        for (const auto& [field, value] : values) {
            const std::string placeholder = "{{" + field + "}}";
            for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder))
                text.replace(at, placeholder.size(), value);
        }
        const std::string file = m_folder + "/" + name + ".conf";
        std::ofstream(file) << text;
        std::replace(words.begin(), words.end(), std::string("FILE"), file);
        m_processes.erase(name);
        m_processes.emplace(name, std::make_unique<child>(words, m_folder + "/" + name + ".log"));
        m_record.line("platform: started %s on %s", name.c_str(), ip.c_str());
    }

    /// @return the first of five ports that are free on all addresses
    int freePorts() const
    {
        std::vector<std::string> ips;
        for (int i = 0; i < 6; ++i) {
            ips.push_back(coreIp(i));
            ips.push_back(frontIp(i));
            ips.push_back(serverIp(i));
        }
        for (int base = 21000 + static_cast<int>(getpid() % 900) * 10; base < 32000; base += 10) {
            bool isFree = true;
            for (const auto& ip : ips) {
                for (int port = base; isFree && port < base + 5; ++port) {
                    const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
                    const auto at = endpoint(ip, port);
                    isFree = bind(probe, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
                    ::close(probe);
                }
            }
            if (isFree)
                return base;
        }
        throw could_not_run { "no free ports" };
    }

    recorder& m_record;
    std::string m_program;
    int m_frontCount;
    std::string m_folder;
    int m_ports = 0;
    std::map<std::string, std::unique_ptr<child>> m_processes;
};

/// A configuration with one plain service and one route to it.
inline std::string plainConfiguration(
    const std::string& service, const std::string& kind, int timeoutMs, int targetLatencyMs, int maxAttempts)
{
    return "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"ficu95.example\",\"path-prefix\":\"/puxa403/"
           "\",\"kind\":\""
        + kind + "\",\"timeout-ms\":" + std::to_string(timeoutMs) + ",\"target-latency-ms\":"
        + std::to_string(targetLatencyMs) + ",\"priority\":2,\"service\":\"" + service + "\",\"max-attempts\":"
        + std::to_string(maxAttempts) + ",\"public\":false,\"sticky\":false}],\"services\":[{\"name\":\"" + service
        + "\",\"health-path\":\"/healthz\",\"max-connections\":110,\"protocol\":\"h1\",\"tls\":false}],"
          "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
          "\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"hule930\",\"api-keys\":[\"n2ctnfzs989anu6wsjnb\"],"
          "\"priority\":1}]}";
}

inline long unixMs()
{
    return static_cast<long>(
        std::chrono::duration_cast<ms>(std::chrono::system_clock::now().time_since_epoch()).count());
}

/// Runs a case and turns what it throws into the exit code.
inline int runCase(const std::function<int()>& body)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return body();
    } catch (const could_not_run& failed) {
        std::fprintf(stderr, "could not run: %s\n", failed.reason.c_str());
        return couldNotRunCode;
    }
}

} // namespace review
