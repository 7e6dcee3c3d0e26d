/// @file
/// @brief Stand-ins of the review's scripts: application servers, consumers and an operator, as the users' pages
/// describe them. Blocking sockets, one thread per connection.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const clock::time_point startedAt = clock::now();

/// @return milliseconds since the start of the program
inline long nowMs() { return static_cast<long>((clock::now() - startedAt) / milliseconds(1)); }

/// Lines of record.txt.
class recorder {
public:
    explicit recorder(const std::string& path)
        : m_file(path, std::ios::app)
    {
    }
    /// @brief Writes a line, and to standard output as well if it is a remark rather than a single event.
    void line(const std::string& text, bool isRemark = false)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%8ld ms  ", nowMs());
        m_file << time << text << "\n";
        if (isRemark)
            std::printf("%s%s\n", time, text.c_str());
        std::fflush(stdout);
        m_file.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

struct message {
    std::string first; ///< request line or status line
    std::map<std::string, std::string> fields; ///< names in lower case
    std::string body;
    bool isWhole = false;
    [[nodiscard]] int status() const { return first.size() > 11 ? std::atoi(first.c_str() + 9) : 0; }
    [[nodiscard]] std::string field(const std::string& name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
};

inline std::string lower(std::string text)
{
    for (auto& symbol : text)
        symbol = static_cast<char>(std::tolower(symbol));
    return text;
}

/// @brief Reads one message with a length or, if `untilClose`, one that ends with its channel.
inline message readMessage(int fd, bool untilClose, int timeoutMs)
{
    message out;
    std::string bytes;
    std::size_t headEnd = std::string::npos;
    std::size_t length = 0;
    bool hasLength = false;
    const auto until = clock::now() + milliseconds(timeoutMs);
    while (true) {
        if (headEnd == std::string::npos && (headEnd = bytes.find("\r\n\r\n")) != std::string::npos) {
            std::istringstream lines(bytes.substr(0, headEnd));
            std::getline(lines, out.first);
            if (!out.first.empty() && out.first.back() == '\r')
                out.first.pop_back();
            for (std::string line; std::getline(lines, line);) {
                if (!line.empty() && line.back() == '\r')
                    line.pop_back();
                const auto colon = line.find(':');
                if (colon == std::string::npos)
                    continue;
                const auto value = line.find_first_not_of(' ', colon + 1);
                out.fields[lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
            }
            hasLength = out.fields.count("content-length") > 0;
            length = hasLength ? std::stoul(out.field("content-length")) : 0;
        }
        if (headEnd != std::string::npos && (hasLength || !untilClose) && bytes.size() >= headEnd + 4 + length) {
            out.body = bytes.substr(headEnd + 4, length);
            out.isWhole = true;
            return out;
        }
        const auto left = std::chrono::duration_cast<milliseconds>(until - clock::now()).count();
        pollfd waiting { fd, POLLIN, 0 };
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0)
            return out;
        char buffer[16384];
        const ssize_t count = ::recv(fd, buffer, sizeof buffer, 0);
        if (count <= 0) {
            if (count == 0 && headEnd != std::string::npos && untilClose && !hasLength) {
                out.body = bytes.substr(headEnd + 4);
                out.isWhole = true;
            }
            return out;
        }
        bytes.append(buffer, static_cast<std::size_t>(count));
    }
}

inline bool sendAll(int fd, const std::string& bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t count = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        done += static_cast<std::size_t>(count);
    }
    return true;
}

inline sockaddr_in addressOf(const std::string& address)
{
    const auto colon = address.rfind(':');
    sockaddr_in out {};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
    return out;
}

/// @return a connected socket, or -1
inline int dial(const std::string& address, const std::string& from = {})
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!from.empty()) {
        const auto local = addressOf(from + ":0");
        (void)::bind(fd, reinterpret_cast<const sockaddr*>(&local), sizeof local);
    }
    const auto to = addressOf(address);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
        ::close(fd);
        return -1;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

/// @brief Makes a JSON call on a new channel.
inline message call(const std::string& method, const std::string& address, const std::string& path,
    const std::string& body, int timeoutMs = 1000)
{
    const int fd = dial(address);
    if (fd < 0)
        return {};
    const std::string head = method + " " + path + " HTTP/1.1\r\nHost: " + address
        + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n";
    message response;
    if (sendAll(fd, head + body))
        response = readMessage(fd, true, timeoutMs);
    ::close(fd);
    return response;
}

/// A request that reached a server.
struct arrival {
    long atMs = 0;
    std::string id; ///< X-Buckthornrail-Attempt-Id
    std::string what; ///< run, not run, 421
};

struct server_options {
    std::string address; ///< "IP:port"
    std::string id;
    std::string service;
    std::string zone;
    std::vector<std::string> control; ///< addresses of daemons that serve `control`
    int slots = 6;
    int queue = 24;
    int workMs = 30;
    int heartbeatMs = 1200;
};

/// @brief An application server that works as PROTOCOL.md says: slots and a queue, refusals that state that the request
/// wasn't run, heartbeats with `beat-url`.
class server {
public:
    server(server_options options, recorder& record)
        : m_options(std::move(options))
        , m_record(record)
    {
        listen();
        std::thread([this] { sendHeartbeats(); }).detach();
    }

    /// @brief Reports `draining` until it is acknowledged. @return when the acknowledgement arrived
    long drain()
    {
        m_state = "draining";
        while (!beat())
            std::this_thread::sleep_for(milliseconds(100));
        return nowMs();
    }

    /// @brief Crashes: the port closes, all channels are reset, nothing more is sent.
    void crash()
    {
        m_isDown = true;
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(m_listener);
        const std::lock_guard lock(m_mutex);
        for (const int fd : m_open) {
            resetOnClose(fd);
            ::shutdown(fd, SHUT_RDWR);
        }
    }

    /// @brief Starts again after a crash, as a new lifetime with a new id.
    void restart(const std::string& id)
    {
        {
            const std::lock_guard lock(m_beatMutex);
            m_options.id = id;
            m_sequence = 0;
        }
        listen();
        m_isDown = false;
    }

    /// @brief Cuts the server off from the machines of the core, silently and in both directions.
    void cutFromCore(bool isCut) { m_isCut = isCut; }

    /// Decides for a request that has been run whether its answer is lost: the channel is reset instead.
    std::function<bool()> losesAnswer;

    [[nodiscard]] std::vector<arrival> arrivals() const
    {
        const std::lock_guard lock(m_mutex);
        return m_arrivals;
    }
    [[nodiscard]] const std::string& id() const { return m_options.id; }

private:
    static void resetOnClose(int fd)
    {
        const linger reset { 1, 0 };
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }

    void listen()
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto own = addressOf(m_options.address);
        if (::bind(m_listener, reinterpret_cast<const sockaddr*>(&own), sizeof own) != 0
            || ::listen(m_listener, 512) != 0) {
            std::perror("server");
            std::_Exit(2);
        }
        std::thread([this, listener = m_listener.load()] { accept(listener); }).detach();
    }

    void accept(int listener)
    {
        while (true) {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            {
                const std::lock_guard lock(m_mutex);
                m_open.insert(fd);
            }
            std::thread([this, fd] {
                serve(fd);
                const std::lock_guard lock(m_mutex);
                if (m_isDown)
                    resetOnClose(fd);
                m_open.erase(fd);
                ::close(fd);
            }).detach();
        }
    }

    void serve(int fd)
    {
        const message request = readMessage(fd, false, 10000);
        if (!request.isWhole)
            return;
        const std::string path = request.first.substr(request.first.find(' ') + 1);
        // On loopback a caller's address doesn't tell its machine. Only the core asks a server without layers for its
        // report, so a cut from the core loses just these calls.
        if (m_isCut && path.rfind("/report", 0) == 0) {
            std::this_thread::sleep_for(std::chrono::seconds(10));
            return;
        }
        const std::string expected = request.field("x-buckthornrail-expect-instance");
        const std::string id = request.field("x-buckthornrail-attempt-id");
        const auto respond = [&](const std::string& status, const std::string& fields, const std::string& body) {
            return sendAll(fd,
                "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                    + body);
        };
        if (!expected.empty() && expected != m_options.id) {
            note(id, "421");
            respond("421 Misdirected Request", "X-Buckthornrail-Not-Executed: 1\r\n", "");
            return;
        }
        if (path.rfind("/report", 0) == 0) {
            respond("200 OK", "Content-Type: application/json\r\n", R"({"models":[],"busy":false,"seq":0})");
            return;
        }
        if (path.rfind("/healthz", 0) == 0) {
            respond(m_state == "ready" ? "200 OK" : "503 Leaving",
                "X-Buckthornrail-Instance-Id: " + m_options.id + "\r\n", "");
            return;
        }
        if (id.empty()) {
            respond("400 Bad Request", "X-Buckthornrail-Not-Executed: 1\r\n", "");
            return;
        }
        if (!takeSlot()) {
            note(id, "not run");
            respond("503 Full", "X-Buckthornrail-Attempt-Id: " + id + "\r\nX-Buckthornrail-Not-Executed: 1\r\n", "");
            return;
        }
        note(id, "run");
        std::this_thread::sleep_for(milliseconds(m_options.workMs));
        releaseSlot();
        if (m_isDown)
            return;
        if (losesAnswer && losesAnswer()) {
            resetOnClose(fd);
            return;
        }
        respond("200 OK",
            "X-Buckthornrail-Attempt-Id: " + id + "\r\nX-Buckthornrail-Server-Stamp: " + m_options.id + "." + id
                + "\r\nContent-Type: text/plain\r\n",
            "answer of " + m_options.id + " to " + id);
    }

    bool takeSlot()
    {
        std::unique_lock lock(m_mutex);
        if (m_running >= m_options.slots && m_waiting >= m_options.queue)
            return false;
        ++m_waiting;
        m_freed.wait(lock, [this] { return m_running < m_options.slots; });
        --m_waiting;
        ++m_running;
        return true;
    }

    void releaseSlot()
    {
        const std::lock_guard lock(m_mutex);
        --m_running;
        m_freed.notify_one();
    }

    void note(const std::string& id, const std::string& what)
    {
        m_record.line("server " + m_options.id + "  " + id + "  " + what);
        const std::lock_guard lock(m_mutex);
        m_arrivals.push_back({ nowMs(), id, what });
    }

    void sendHeartbeats()
    {
        while (true) {
            if (!m_isCut && !m_isDown)
                (void)beat();
            std::this_thread::sleep_for(milliseconds(m_options.heartbeatMs));
        }
    }

    /// @return whether the heartbeat was acknowledged
    bool beat()
    {
        const std::lock_guard lock(m_beatMutex);
        const std::string body = R"({"service":")" + m_options.service + R"(","address":")" + m_options.address
            + R"(","zone":")" + m_options.zone + R"(","version":"v1","slots":)" + std::to_string(m_options.slots)
            + R"(,"state":")" + m_state.load() + R"(","cold-left-ms":0,"seq":)" + std::to_string(++m_sequence) + "}";
        const std::string address
            = m_beatAddress.empty() ? m_options.control[m_nextControl++ % m_options.control.size()] : m_beatAddress;
        const auto response = call("PUT", address, "/instances/" + m_options.id, body);
        const bool isAcknowledged = response.isWhole && response.status() >= 200 && response.status() < 300;
        m_beatAddress = isAcknowledged ? beatAddressIn(response.body) : "";
        return isAcknowledged;
    }

    static std::string beatAddressIn(const std::string& body)
    {
        const std::string name = "\"beat-url\":\"";
        auto begin = body.find(name);
        if (begin == std::string::npos)
            return {};
        begin += name.size();
        std::string value = body.substr(begin, body.find('"', begin) - begin);
        if (value.rfind("http://", 0) == 0)
            value = value.substr(7);
        return value.substr(0, value.find('/'));
    }

    server_options m_options;
    recorder& m_record;
    std::atomic<int> m_listener = -1;
    std::atomic<const char*> m_state = "ready";
    std::atomic<bool> m_isCut = false;
    std::atomic<bool> m_isDown = false;
    std::set<int> m_open; ///< channels
    mutable std::mutex m_mutex;
    std::mutex m_beatMutex;
    std::condition_variable m_freed;
    int m_running = 0;
    int m_waiting = 0;
    std::vector<arrival> m_arrivals;
    std::uint64_t m_sequence = 0;
    std::string m_beatAddress;
    std::size_t m_nextControl = 0;
};

/// What a consumer has seen of one request.
struct outcome {
    long sentMs = 0;
    long endedMs = 0;
    std::string id;
    int status = 0; ///< 0: no whole answer
};

/// @brief Consumers that send requests at a steady rate, each on a new channel and with an id of its own,
/// to the gateways in turn.
class consumers {
public:
    consumers(
        std::vector<std::string> gateways, std::string requestLine, std::string fields, int timeoutMs, recorder& record)
        : m_gateways(std::move(gateways))
        , m_requestLine(std::move(requestLine))
        , m_fields(std::move(fields))
        , m_timeoutMs(timeoutMs)
        , m_record(record)
    {
    }

    /// @brief Sends requests until a time, and waits for the answers.
    void run(int perSecond, long untilMs)
    {
        const auto begin = clock::now();
        for (long count = 0; nowMs() < untilMs; ++count) {
            std::this_thread::sleep_until(begin + std::chrono::microseconds(1'000'000L * count / perSecond));
            ++m_open;
            std::thread([this] {
                send();
                --m_open;
            }).detach();
        }
        while (m_open > 0)
            std::this_thread::sleep_for(milliseconds(10));
    }

    [[nodiscard]] const std::vector<outcome>& outcomes() const { return m_outcomes; }

private:
    void send()
    {
        outcome seen;
        const auto number = ++m_lastId;
        char id[24];
        std::snprintf(id, sizeof id, "%016llx", 0x5a00000000000000ULL + number);
        seen.id = id;
        seen.sentMs = nowMs();
        const int fd = dial(m_gateways[number % m_gateways.size()]);
        if (fd >= 0) {
            const std::string text = m_requestLine + " HTTP/1.1\r\n" + m_fields
                + "X-Buckthornrail-Attempt-Id: " + seen.id
                + "\r\nX-Buckthornrail-Deadline-Ms: " + std::to_string(m_timeoutMs) + "\r\nContent-Length: 0\r\n\r\n";
            if (sendAll(fd, text)) {
                const auto response = readMessage(fd, true, m_timeoutMs + 600);
                seen.status = response.isWhole ? response.status() : 0;
            }
            ::close(fd);
        }
        seen.endedMs = nowMs();
        m_record.line("consumer  " + seen.id + "  sent at " + std::to_string(seen.sentMs) + "  status "
            + std::to_string(seen.status));
        const std::lock_guard lock(m_mutex);
        m_outcomes.push_back(seen);
    }

    std::vector<std::string> m_gateways;
    std::string m_requestLine;
    std::string m_fields;
    int m_timeoutMs;
    recorder& m_record;
    std::mutex m_mutex;
    std::atomic<unsigned long long> m_lastId = 0;
    std::atomic<int> m_open = 0;
    std::vector<outcome> m_outcomes;
};

/// @brief Sends a configuration to the daemons in turn until one acknowledges it.
inline bool publish(const std::vector<std::string>& control, const std::string& document, int seconds)
{
    for (const long until = nowMs() + 1000L * seconds; nowMs() < until;) {
        for (const auto& address : control) {
            if (call("PUT", address, "/config", document, 2000).status() == 200)
                return true;
        }
        std::this_thread::sleep_for(milliseconds(200));
    }
    return false;
}

/// @brief Waits until a daemon answers its readiness question with 200.
inline bool waitReady(const std::string& address, int seconds)
{
    for (const long until = nowMs() + 1000L * seconds; nowMs() < until;) {
        if (call("GET", address, "/readyz", "").status() == 200)
            return true;
        std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
}

/// @return a configuration with one route, /p/ at a.example, to the service "portal"
inline std::string documentOf(int version, const std::string& kind, int maxAttempts)
{
    return R"({"version":)" + std::to_string(version)
        + R"(,"routes":[{"name":"r","host":"a.example","path-prefix":"/p/","kind":")" + kind
        + R"(","timeout-ms":1500,"target-latency-ms":150,"priority":1,"service":"portal","max-attempts":)"
        + std::to_string(maxAttempts)
        + R"(,"public":true}],"services":[{"name":"portal","health-path":"/healthz","max-connections":100}],)"
        + R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";
}

inline std::vector<std::string> splitList(const std::string& text)
{
    std::vector<std::string> items;
    std::istringstream in(text);
    for (std::string item; std::getline(in, item, ',');)
        items.push_back(item);
    return items;
}

} // namespace review
