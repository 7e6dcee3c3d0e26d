/// @file
/// @brief State of the stand-in targets, and a connection to one of them. Private to stand_in_fleet.cpp.
#pragma once

#include "buckthornrail/net/http_service.hpp"
#include "support/child_process.hpp"
#include "support/endless_kinds.hpp"
#include "support/stand_in_fleet.hpp"

#include <algorithm>
#include <charconv>
#include <deque>
#include <future>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <thread>

namespace test_support {

using namespace buckthornrail;
using nlohmann::json;

inline constexpr milliseconds eventInterval { 8 };
inline constexpr milliseconds plainResponseTime { 5 };
/// An engine resets a stream when a member of its chain has been unavailable for this long.
inline constexpr milliseconds stallTimeout { 700 };
inline constexpr milliseconds loadTime { 30 };
/// From the start of a request that crashes its target until the crash, as if its prompt were processed first.
inline constexpr milliseconds crashDelay { 100 };
inline constexpr milliseconds restartDelay { 600 }; ///< from a target's crash until it starts again
inline constexpr std::string_view extraBytes = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra";
inline constexpr std::string_view crashMarker = "/crash";

inline steady_time now() { return buckthornrail::boot_clock::now(); }

/// @return the number that follows a marker in a text; without the marker or a number, the fallback
inline std::uint64_t numberAfter(std::string_view text, std::string_view marker, std::uint64_t fallback)
{
    const auto position = text.find(marker);
    if (position == std::string_view::npos)
        return fallback;
    std::uint64_t number = fallback;
    std::from_chars(text.data() + position + marker.size(), text.data() + text.size(), number);
    return number;
}

/// A member of a chain and the layers that it executes.
struct path_part {
    std::string address;
    std::uint32_t first = 0;
    std::uint32_t end = 0;
};

/// @brief Parses "address=first-end,address=first-end".
inline std::vector<path_part> parsePath(std::string_view text)
{
    std::vector<path_part> parts;
    while (!text.empty()) {
        const auto comma = text.find(',');
        const std::string part(text.substr(0, comma));
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
        const auto equals = part.find('=');
        parts.push_back({ part.substr(0, equals), static_cast<std::uint32_t>(numberAfter(part, "=", 0)),
            static_cast<std::uint32_t>(numberAfter(part, "-", 0)) });
    }
    return parts;
}

/// @brief Parses "id:tokens,id:tokens". @return the ids
inline std::vector<std::string> parsePromptParts(std::string_view text)
{
    std::vector<std::string> ids;
    while (!text.empty()) {
        const auto comma = text.find(',');
        const auto part = text.substr(0, comma);
        ids.emplace_back(part.substr(0, part.find(':')));
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    }
    return ids;
}

struct stand_in_fleet::implementation {
    struct target {
        std::size_t index = 0;
        std::string id;
        std::size_t incarnation = 0; ///< distinguishes incarnations with the same id
        std::size_t crashedIncarnation = 0; ///< the last one that a request crashed
        std::uint64_t startedMs = 0; ///< Unix time; 0: not announced, the id changes with each start
        std::string service;
        std::string domain;
        std::string accelerator;
        std::string address;
        std::uint32_t firstLayer = 0;
        std::uint32_t endLayer = 0; ///< one past the last; 0: no layers are loaded
        std::uint64_t heartbeatSequence = 0;
        std::uint64_t revision = 0;
        std::uint64_t fencingToken = 0;
        bool isUp = false;
        bool isUnresponsive = false;
        bool announces = true;
        bool isDraining = false;
        bool isDrainAcknowledged = false;
        bool isLoading = false;
        target_faults faults;
        std::optional<double> limit; ///< requests per second, reported in responses
        std::optional<milliseconds> retryAfter;
        std::optional<std::chrono::steady_clock::time_point> firstRefusalAt;
        bool reportsLeaving = false;
        std::vector<std::chrono::steady_clock::time_point> controlCalls; ///< arrivals of report requests and orders
        std::unique_ptr<net::tcp_listener> listener;
        std::set<std::shared_ptr<class target_session>> sessions;
        std::map<std::string, std::string> stalled; ///< address of the unavailable chain member, by request id
    };

    explicit implementation(std::vector<std::string> addresses)
        : controllerAddresses(std::move(addresses))
    {
        thread = std::thread([this] { loop.run(); });
    }

    /// @brief Runs a function on the loop's thread and waits for its result.
    template <typename Function> auto runOnLoop(Function function)
    {
        using result = decltype(function());
        std::promise<result> promise;
        loop.post([&] {
            if constexpr (std::is_void_v<result>) {
                function();
                promise.set_value();
            } else {
                promise.set_value(function());
            }
        });
        return promise.get_future().get();
    }

    void start(target& standIn);
    void terminate(target& standIn);
    /// @brief Crashes a target while it executes a request, and restarts it after restartDelay.
    void crash(target& standIn, fleet_crash cause);
    /// @return the crashing part that a request has; null: none
    [[nodiscard]] const crashing_part* crashingPartOf(const std::vector<std::string>& promptParts) const
    {
        for (const auto& part : crashingParts) {
            if (std::find(promptParts.begin(), promptParts.end(), part.id) != promptParts.end())
                return &part;
        }
        return nullptr;
    }
    void scheduleHeartbeat(std::size_t index, std::size_t incarnation);
    void sendHeartbeat(target& standIn);
    static json announcement(const target& standIn);
    target* findByAddress(const std::string& address)
    {
        for (auto& standIn : targets) {
            if (standIn->address == address)
                return standIn.get();
        }
        return nullptr;
    }
    bool drawFault(double rate) { return std::uniform_real_distribution<double>(0, 1)(random) < rate; }

    std::vector<std::string> controllerAddresses;
    link::event_loop loop;
    std::thread thread;
    std::vector<std::unique_ptr<target>> targets;
    std::vector<fleet_run> runs;
    std::vector<fleet_arrival> arrivals;
    std::vector<fleet_crash> crashes;
    std::vector<endless_end> endlessEnds;
    std::vector<crashing_part> crashingParts;
    std::mt19937_64 random { 7 };
    std::size_t lastIncarnation = 0;
    bool keepsIds = false;
    bool isShuttingDown = false;
};

/// @brief One connection to a target. It serves one request.
class target_session : public std::enable_shared_from_this<target_session> {
public:
    using fleet = stand_in_fleet::implementation;

    target_session(fleet& owner, fleet::target& target, net::connection_pointer connection)
        : m_fleet(owner)
        , m_target(target)
        , m_connection(std::move(connection))
        , m_timer(owner.loop)
    {
    }

    void begin()
    {
        const std::weak_ptr<target_session> weak = weak_from_this();
        m_connection->setHandlers({ nullptr,
            [weak](std::string_view bytes) {
                if (const auto self = weak.lock())
                    self->onBytes(bytes);
            },
            nullptr,
            [weak](net::connection_end) {
                if (const auto self = weak.lock())
                    self->finish();
            } });
    }

    void reset()
    {
        m_connection->abort(true);
        finish();
    }

private:
    void finish()
    {
        if (m_endless != nullptr && !std::exchange(m_hasFinished, true))
            m_fleet.endlessEnds.push_back({ m_requestId, std::string(m_endless->name), m_sentBytes,
                std::chrono::duration_cast<milliseconds>(now() - m_endlessSince) });
        m_timer.cancel();
        m_target.stalled.erase(m_requestId);
        m_target.sessions.erase(shared_from_this());
    }

    void onBytes(std::string_view bytes)
    {
        if (m_parser.parse(bytes) != http1::parse_state::Done || m_hasRequest || m_target.isUnresponsive)
            return;
        m_hasRequest = true;
        const auto& head = m_parser.head();
        const bool isControlCall = head.target == "/report" || head.target == "/order";
        if (isControlCall)
            m_target.controlCalls.push_back(std::chrono::steady_clock::now());
        if (isControlCall && m_target.retryAfter) {
            refuseWithRetryAfter();
            return;
        }
        if (head.target == "/report") {
            respond(200, report(), {});
            return;
        }
        m_requestId = http1::valueOf(head.fields, "X-Buckthornrail-Attempt-Id").value_or("");
        const auto expected = http1::valueOf(head.fields, "X-Buckthornrail-Expect-Instance");
        if (expected && *expected != m_target.id) {
            respond(421, "", {});
            return;
        }
        if (head.target == "/order") {
            applyOrder(m_parser.takeBody());
            return;
        }
        m_promptParts = parsePromptParts(http1::valueOf(head.fields, "X-Buckthornrail-Prompt-Prefix").value_or(""));
        m_fleet.arrivals.push_back({ m_requestId, m_target.id, std::chrono::steady_clock::now(), m_promptParts });
        if (m_target.retryAfter) {
            refuseWithRetryAfter();
            return;
        }
        if (m_target.isDraining || m_fleet.drawFault(m_target.faults.refusalRate)) {
            respond(503, "", { { "X-Buckthornrail-Not-Executed", "1" } });
            return;
        }
        serve();
    }

    void refuseWithRetryAfter()
    {
        if (!m_target.firstRefusalAt)
            m_target.firstRefusalAt = std::chrono::steady_clock::now();
        constexpr double msPerSecond = 1000;
        respond(503, "",
            { { "X-Buckthornrail-Not-Executed", "1" },
                { "Retry-After", std::to_string(static_cast<double>(m_target.retryAfter->count()) / msPerSecond) } });
    }

    std::string report() const
    {
        json stalled = json::array();
        for (const auto& [id, address] : m_target.stalled)
            stalled.push_back({ { "id", id }, { "address", address } });
        json state { { "born", m_target.startedMs }, { "busy", m_target.isLoading }, { "seq", m_target.revision },
            { "stalled", stalled } };
        if (m_target.endLayer > 0)
            state["layers"] = { { "from", m_target.firstLayer }, { "target", m_target.endLayer } };
        return state.dump();
    }

    void applyOrder(const std::string& body)
    {
        const json request = json::parse(body, nullptr, false);
        const auto fencingToken = request.value("fencing-token", std::uint64_t { 0 });
        if (fencingToken < m_target.fencingToken) {
            respond(412, "", {});
            return;
        }
        if (m_target.isLoading || request.value("expected-revision", std::uint64_t { 0 }) != m_target.revision) {
            respond(409, "", {});
            return;
        }
        m_target.fencingToken = fencingToken;
        ++m_target.revision;
        m_target.isLoading = true;
        m_target.firstLayer = m_target.endLayer = 0;
        auto* standIn = &m_target;
        m_fleet.loop.runAt(now() + loadTime, [standIn, request, incarnation = standIn->incarnation] {
            if (standIn->incarnation != incarnation)
                return;
            standIn->isLoading = false;
            standIn->firstLayer = request.value("from", 0U);
            standIn->endLayer = request.value("target", 0U);
        });
        respond(202, "{}", {});
    }

    void serve()
    {
        const auto& head = m_parser.head();
        m_path = head.target;
        const bool isStream = !m_target.accelerator.empty();
        if (isStream) {
            m_parts = parsePath(http1::valueOf(head.fields, "X-Buckthornrail-Hop-Count").value_or(""));
            std::uint32_t nextLayer = 0;
            for (const auto& part : m_parts) {
                const auto* member = m_fleet.findByAddress(part.address);
                const bool isAvailable = member != nullptr && member->isUp && !member->isDraining
                    && part.first == nextLayer && member->firstLayer <= part.first && part.end <= member->endLayer;
                if (!isAvailable) {
                    respond(503, "", { { "X-Buckthornrail-Not-Executed", "1" }, { "At-Server", part.address } });
                    return;
                }
                nextLayer = part.end;
            }
            if (nextLayer != stand_in_fleet::layers) {
                respond(400, "", {});
                return;
            }
        }
        m_runIndex = m_fleet.runs.size();
        m_fleet.runs.push_back({ m_requestId, m_target.id, m_path,
            std::string(http1::valueOf(head.fields, "X-Buckthornrail-Tenant").value_or("")), false,
            std::string(http1::valueOf(head.fields, "X-Buckthornrail-Request-Priority").value_or("")) });
        m_hasWrongId = m_fleet.drawFault(m_target.faults.wrongIdRate);
        const bool fails = m_fleet.drawFault(m_target.faults.failureRate);
        m_isTruncated = m_fleet.drawFault(m_target.faults.truncationRate);
        m_isUnframed = m_fleet.drawFault(m_target.faults.unframedRate);
        m_hasExtraBytes = !m_isUnframed && m_fleet.drawFault(m_target.faults.extraBytesRate);
        if (m_endless = endlessKindIn(m_path); m_endless != nullptr) {
            beginEndless();
        } else if (m_path.find(crashMarker) != std::string::npos) {
            runAfter(crashDelay, [this] { m_fleet.crash(m_target, { m_requestId, m_path, {}, {}, {} }); });
        } else if (const auto* part = m_fleet.crashingPartOf(m_promptParts)) {
            runAfter(crashDelay, [this, part = *part] { crashByPart(part); });
        } else if (fails) {
            runAfter(plainResponseTime, [this] { respond(500, "failed", responseFields()); });
        } else if (!isStream) {
            runAfter(plainResponseTime, [this] { respondPlain(); });
        } else {
            m_eventCount = numberAfter(m_path, "/n", 3);
            if (const auto last = http1::valueOf(head.fields, "Last-Event-Id"))
                m_nextEventId = static_cast<std::uint64_t>(std::stoull(std::string(*last))) + 1;
            auto fields = responseFields();
            fields.push_back({ "Content-Type", "text/event-stream" });
            addPushback(fields);
            const http1::response_head streamHead { 200, "OK", fields };
            m_connection->write(m_isUnframed ? unframedHead(fields) : http1::formatChunkedHead(streamHead, true));
            scheduleEvent();
        }
    }

    void crashByPart(const crashing_part& part)
    {
        auto* member
            = part.crashesLastMember && !m_parts.empty() ? m_fleet.findByAddress(m_parts.back().address) : nullptr;
        m_fleet.crash(member == nullptr ? m_target : *member, { m_requestId, m_path, {}, part.id, {} });
        if (member == nullptr || member == &m_target)
            return;
        m_target.stalled[m_requestId] = member->address;
        runAfter(stallTimeout, [this] { reset(); });
    }

    void beginEndless()
    {
        m_endlessSince = now();
        std::string prefix(m_endless->prefix);
        std::string fields;
        for (const auto& field : responseFields())
            fields += field.name + ": " + field.value + "\r\n";
        if (const auto mark = prefix.find(endlessFieldsMark); mark != std::string::npos)
            prefix.replace(mark, endlessFieldsMark.size(), fields);
        m_connection->write(prefix);
        sendEndless();
    }

    /// Sends until the peer closes, about 30 MB a second, or one unit every 20 ms.
    void sendEndless()
    {
        constexpr std::size_t block = 64U << 10U;
        constexpr milliseconds pause { 2 };
        constexpr milliseconds slowPause { 20 };
        const bool isSlow = m_path.find(slowMarker) != std::string::npos;
        std::string bytes;
        do
            bytes += m_endless->unit;
        while (!isSlow && bytes.size() < block);
        if (m_connection->pendingBytes() == 0) {
            m_sentBytes += bytes.size();
            m_connection->write(bytes);
        }
        m_timer.set(now() + (isSlow ? slowPause : pause), [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->sendEndless();
        });
    }

    void respondPlain()
    {
        const std::string body = stand_in_fleet::plainBody(m_path);
        if (m_isTruncated) {
            const std::string part = body.substr(0, body.size() / 2);
            const std::string whole = http1::formatResponse({ 200, "OK", responseFields() }, body, true);
            m_connection->write(m_isUnframed ? unframedHead(responseFields()) + part : whole.substr(0, 60));
            if (m_isUnframed || m_target.faults.cut == response_cut::Reset)
                reset();
            else
                close();
            return;
        }
        m_fleet.runs[m_runIndex].isComplete = true;
        if (m_isUnframed) {
            m_connection->write(unframedHead(responseFields()) + body);
            close();
            return;
        }
        respond(200, body, responseFields());
    }

    static std::string unframedHead(const std::vector<http1::field>& fields)
    {
        std::string head = "HTTP/1.1 200 OK\r\n";
        for (const auto& field : fields)
            head += field.name + ": " + field.value + "\r\n";
        return head + "\r\n";
    }

    /// Ends the connection in order.
    void close()
    {
        m_connection->closeAfterWrite();
        finish();
    }

    void writeEvent(const std::string& bytes) { m_connection->write(m_isUnframed ? bytes : http1::formatChunk(bytes)); }

    void endStream()
    {
        if (!m_isUnframed)
            m_connection->write(http1::lastChunk);
        if (m_hasExtraBytes)
            m_connection->write(extraBytes);
        close();
    }

    void cutStream(const std::string& event)
    {
        writeEvent(event.substr(0, event.size() / 2));
        const auto cut = m_target.faults.cut;
        if (cut == response_cut::Reset)
            reset();
        else if (cut == response_cut::Close)
            close();
        else
            endStream();
    }

    void scheduleEvent()
    {
        runAfter(eventInterval * m_target.faults.slowdownFactor, [this] {
            for (const auto& part : m_parts) {
                const auto* member = m_fleet.findByAddress(part.address);
                if (member != nullptr && member->isUp && !member->isUnresponsive)
                    continue;
                m_target.stalled[m_requestId] = part.address;
                if (m_stallDeadline == steady_time {})
                    m_stallDeadline = now() + stallTimeout;
                if (now() >= m_stallDeadline)
                    reset();
                else
                    scheduleEvent();
                return;
            }
            if (m_nextEventId > m_eventCount) {
                m_fleet.runs[m_runIndex].isComplete = true;
                endStream();
                return;
            }
            const std::string event = stand_in_fleet::eventBytes(m_path, m_nextEventId);
            if (m_isTruncated && m_nextEventId * 2 > m_eventCount) {
                cutStream(event);
                return;
            }
            ++m_nextEventId;
            writeEvent(event);
            scheduleEvent();
        });
    }

    std::vector<http1::field> responseFields() const
    {
        return { { "X-Buckthornrail-Attempt-Id", m_hasWrongId ? "another" : m_requestId },
            { "X-Buckthornrail-Server-Stamp", "stamp." + m_target.id } };
    }

    void addPushback(std::vector<http1::field>& fields) const
    {
        if (m_target.limit)
            fields.push_back({ "Server-Limit", std::to_string(*m_target.limit) });
        if (m_target.reportsLeaving)
            fields.push_back({ "Server-Leaving", "1" });
    }

    void respond(int status, const std::string& body, std::vector<http1::field> fields)
    {
        addPushback(fields);
        m_connection->write(
            http1::formatResponse({ status, "Status", std::move(fields) }, body, http1::termsFor(m_parser.head())));
        if (m_hasExtraBytes)
            m_connection->write(extraBytes);
        close();
    }

    /// @brief Calls a function after a time. While the target is unresponsive then, waits for the same time again.
    void runAfter(milliseconds time, std::function<void()> then)
    {
        const std::weak_ptr<target_session> weak = weak_from_this();
        m_timer.set(now() + time, [weak, time, then = std::move(then)] {
            const auto self = weak.lock();
            if (!self)
                return;
            if (self->m_target.isUnresponsive)
                self->runAfter(time, then);
            else
                then();
        });
    }

    fleet& m_fleet;
    fleet::target& m_target;
    net::connection_pointer m_connection;
    http1::request_parser m_parser;
    net::loop_timer m_timer;
    bool m_hasRequest = false;
    bool m_hasWrongId = false;
    bool m_isTruncated = false;
    bool m_isUnframed = false;
    bool m_hasExtraBytes = false;
    std::string m_requestId;
    std::string m_path;
    std::vector<std::string> m_promptParts;
    std::vector<path_part> m_parts;
    std::size_t m_runIndex = 0;
    const endless_kind* m_endless = nullptr; ///< what the response is made of; null: an ordinary one
    bool m_hasFinished = false;
    std::size_t m_sentBytes = 0;
    steady_time m_endlessSince {};
    std::uint64_t m_eventCount = 0;
    std::uint64_t m_nextEventId = 1;
    steady_time m_stallDeadline {};
};

} // namespace test_support
