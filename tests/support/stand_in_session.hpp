/// @file
/// @brief The stand-in targets' state, and one connection to one of them. For stand_in_fleet.cpp alone.
#pragma once

#include "buckthornrail/net/http_service.hpp"
#include "support/child_process.hpp"
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

inline constexpr milliseconds eventPeriod { 8 };
inline constexpr milliseconds plainWork { 5 };
inline constexpr milliseconds stallTime {
    700
}; ///< a stream whose member is gone stands still so long, then breaks off
inline constexpr milliseconds loadTime { 30 };
/// A request that ends its target has come: its prompt is read first.
inline constexpr milliseconds crashAfter { 100 };
inline constexpr milliseconds restartAfter { 600 }; ///< a target that crashed is gone
inline constexpr std::string_view crashMark = "/crash";

inline steady_time now() { return buckthornrail::boot_clock::now(); }

inline std::uint64_t numberAfter(std::string_view text, std::string_view mark, std::uint64_t otherwise)
{
    const auto at = text.find(mark);
    if (at == std::string_view::npos)
        return otherwise;
    std::uint64_t number = otherwise;
    std::from_chars(text.data() + at + mark.size(), text.data() + text.size(), number);
    return number;
}

struct part_of_path {
    std::string address;
    std::uint32_t first = 0;
    std::uint32_t end = 0;
};

inline std::vector<part_of_path> readPath(std::string_view text)
{
    std::vector<part_of_path> parts;
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

struct stand_in_fleet::implementation {
    struct target {
        std::size_t number = 0;
        std::string id;
        std::size_t life = 0; ///< tells lives apart that have the same id
        std::size_t crashedLife = 0; ///< the last one that a request has ended
        std::uint64_t startedMs = 0; ///< told only by targets that keep their ids
        std::string service;
        std::string domain;
        std::string accelerator;
        std::string address;
        std::uint32_t first = 0;
        std::uint32_t end = 0;
        std::uint64_t sequence = 0;
        std::uint64_t orders = 0;
        std::uint64_t fence = 0;
        bool isUp = false;
        bool isFrozen = false;
        bool announces = true;
        bool isDraining = false;
        bool drainAcknowledged = false;
        bool isBusy = false;
        target_faults faults;
        std::optional<double> limit; ///< requests a second that it names
        std::optional<milliseconds> rest;
        std::optional<std::chrono::steady_clock::time_point> restAskedAt;
        bool saysLeaving = false;
        std::vector<std::chrono::steady_clock::time_point> calls; ///< questions and orders
        std::unique_ptr<net::tcp_listener> listener;
        std::set<std::shared_ptr<class target_session>> sessions;
        std::map<std::string, std::string> stalled; ///< address at fault by request id
    };

    explicit implementation(std::vector<std::string> addresses)
        : controls(std::move(addresses))
    {
        thread = std::thread([this] { loop.run(); });
    }

    template <typename Function> auto ask(Function function)
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

    void start(target& one);
    void stop(target& one);
    /// Ends a target under a request; it starts again after a while.
    void crash(target& one, const std::string& requestId, const std::string& path);
    void scheduleBeat(std::size_t number, std::size_t life);
    void beat(target& one);
    static json announcement(const target& one);
    target* at(const std::string& address)
    {
        for (auto& one : targets) {
            if (one->address == address)
                return one.get();
        }
        return nullptr;
    }
    bool drawn(double share) { return std::uniform_real_distribution<double>(0, 1)(random) < share; }

    std::vector<std::string> controls;
    link::event_loop loop;
    std::thread thread;
    std::vector<std::unique_ptr<target>> targets;
    std::vector<fleet_run> runs;
    std::vector<fleet_arrival> arrivals;
    std::vector<fleet_crash> crashes;
    std::mt19937_64 random { 7 };
    std::size_t lives = 0;
    bool keepsIds = false;
    bool isEnding = false;
};

/// One connection to a target, for one request.
class target_session : public std::enable_shared_from_this<target_session> {
public:
    using fleet = stand_in_fleet::implementation;

    target_session(fleet& owner, fleet::target& target, net::channel_pointer channel)
        : m_fleet(owner)
        , m_target(target)
        , m_channel(std::move(channel))
        , m_timer(owner.loop)
    {
    }

    void begin()
    {
        const std::weak_ptr<target_session> weak = weak_from_this();
        m_channel->setHandlers({ nullptr,
            [weak](std::string_view bytes) {
                if (const auto self = weak.lock())
                    self->onBytes(bytes);
            },
            nullptr,
            [weak](net::channel_end) {
                if (const auto self = weak.lock())
                    self->leave();
            } });
    }

    void reset()
    {
        m_channel->abort(true);
        leave();
    }

private:
    void leave()
    {
        m_timer.cancel();
        m_target.stalled.erase(m_requestId);
        m_target.sessions.erase(shared_from_this());
    }

    void onBytes(std::string_view bytes)
    {
        if (m_parser.put(bytes) != http1::parse_state::Done || m_begun || m_target.isFrozen)
            return;
        m_begun = true;
        const auto& head = m_parser.head();
        const bool isCall = head.target == "/report" || head.target == "/order";
        if (isCall)
            m_target.calls.push_back(std::chrono::steady_clock::now());
        if (isCall && m_target.rest) {
            turnAway();
            return;
        }
        if (head.target == "/report") {
            answer(200, report(), {});
            return;
        }
        m_requestId = http1::valueOf(head.fields, "X-Buckthornrail-Attempt-Id").value_or("");
        const auto expected = http1::valueOf(head.fields, "X-Buckthornrail-Expect-Instance");
        if (expected && *expected != m_target.id) {
            answer(421, "", {});
            return;
        }
        if (head.target == "/order") {
            order(m_parser.takeBody());
            return;
        }
        m_fleet.arrivals.push_back({ m_requestId, m_target.id, std::chrono::steady_clock::now() });
        if (m_target.rest) {
            turnAway();
            return;
        }
        if (m_target.isDraining || m_fleet.drawn(m_target.faults.refuseShare)) {
            answer(503, "", { { "X-Buckthornrail-Not-Executed", "1" } });
            return;
        }
        serve();
    }

    void turnAway()
    {
        if (!m_target.restAskedAt)
            m_target.restAskedAt = std::chrono::steady_clock::now();
        constexpr double msPerSecond = 1000;
        answer(503, "",
            { { "X-Buckthornrail-Not-Executed", "1" },
                { "Retry-After", std::to_string(static_cast<double>(m_target.rest->count()) / msPerSecond) } });
    }

    std::string report() const
    {
        json stalled = json::array();
        for (const auto& [id, address] : m_target.stalled)
            stalled.push_back({ { "id", id }, { "address", address } });
        json out { { "born", m_target.startedMs }, { "busy", m_target.isBusy }, { "seq", m_target.orders },
            { "stalled", stalled } };
        if (m_target.end > 0)
            out["layers"] = { { "from", m_target.first }, { "target", m_target.end } };
        return out.dump();
    }

    void order(const std::string& body)
    {
        const json in = json::parse(body, nullptr, false);
        const auto fence = in.value("fencing-token", std::uint64_t { 0 });
        if (fence < m_target.fence) {
            answer(412, "", {});
            return;
        }
        if (m_target.isBusy || in.value("expected-revision", std::uint64_t { 0 }) != m_target.orders) {
            answer(409, "", {});
            return;
        }
        m_target.fence = fence;
        ++m_target.orders;
        m_target.isBusy = true;
        m_target.first = m_target.end = 0;
        auto* one = &m_target;
        m_fleet.loop.runAt(now() + loadTime, [one, in, life = one->life] {
            if (one->life != life)
                return;
            one->isBusy = false;
            one->first = in.value("from", 0U);
            one->end = in.value("target", 0U);
        });
        answer(202, "{}", {});
    }

    void serve()
    {
        const auto& head = m_parser.head();
        m_path = head.target;
        const bool isStream = !m_target.accelerator.empty();
        if (isStream) {
            m_parts = readPath(http1::valueOf(head.fields, "X-Buckthornrail-Hop-Count").value_or(""));
            std::uint32_t next = 0;
            for (const auto& part : m_parts) {
                const auto* member = m_fleet.at(part.address);
                const bool holds = member != nullptr && member->isUp && !member->isDraining && part.first == next
                    && member->first <= part.first && part.end <= member->end;
                if (!holds) {
                    answer(503, "", { { "X-Buckthornrail-Not-Executed", "1" }, { "At-Server", part.address } });
                    return;
                }
                next = part.end;
            }
            if (next != stand_in_fleet::layers) {
                answer(400, "", {});
                return;
            }
        }
        m_run = m_fleet.runs.size();
        m_fleet.runs.push_back({ m_requestId, m_target.id, m_path,
            std::string(http1::valueOf(head.fields, "X-Buckthornrail-Tenant").value_or("")), false });
        m_isGarbled = m_fleet.drawn(m_target.faults.garbleShare);
        const bool fails = m_fleet.drawn(m_target.faults.failShare);
        m_isCut = m_fleet.drawn(m_target.faults.cutShare);
        if (m_path.find(crashMark) != std::string::npos) {
            wait(crashAfter, [this] { m_fleet.crash(m_target, m_requestId, m_path); });
        } else if (fails) {
            wait(plainWork, [this] { answer(500, "failed", marked()); });
        } else if (!isStream) {
            wait(plainWork, [this] { answerPlain(); });
        } else {
            m_events = numberAfter(m_path, "/n", 3);
            if (const auto last = http1::valueOf(head.fields, "Last-Event-Id"))
                m_next = static_cast<std::uint64_t>(std::stoull(std::string(*last))) + 1;
            auto fields = marked();
            fields.push_back({ "Content-Type", "text/event-stream" });
            addPushback(fields);
            m_channel->write(http1::formatChunkedHead({ 200, "OK", fields }, true));
            nextEvent();
        }
    }

    void answerPlain()
    {
        const std::string body = stand_in_fleet::plainBody(m_path);
        if (m_isCut) {
            m_channel->write(http1::formatResponse({ 200, "OK", marked() }, body, true).substr(0, 60));
            reset();
            return;
        }
        m_fleet.runs[m_run].wasWhole = true;
        answer(200, body, marked());
    }

    void nextEvent()
    {
        wait(eventPeriod * m_target.faults.slowFactor, [this] {
            for (const auto& part : m_parts) {
                const auto* member = m_fleet.at(part.address);
                if (member != nullptr && member->isUp && !member->isFrozen)
                    continue;
                m_target.stalled[m_requestId] = part.address;
                if (m_stallEnd == steady_time {})
                    m_stallEnd = now() + stallTime;
                if (now() >= m_stallEnd)
                    reset();
                else
                    nextEvent();
                return;
            }
            if (m_next > m_events) {
                m_fleet.runs[m_run].wasWhole = true;
                m_channel->write(http1::lastChunk);
                m_channel->closeAfterWrite();
                leave();
                return;
            }
            const std::string event = stand_in_fleet::eventBytes(m_path, m_next);
            if (m_isCut && m_next * 2 > m_events) {
                m_channel->write(http1::formatChunk(event.substr(0, event.size() / 2)));
                reset();
                return;
            }
            ++m_next;
            m_channel->write(http1::formatChunk(event));
            nextEvent();
        });
    }

    std::vector<http1::field> marked() const
    {
        return { { "X-Buckthornrail-Attempt-Id", m_isGarbled ? "another" : m_requestId },
            { "X-Buckthornrail-Server-Stamp", "stamp." + m_target.id } };
    }

    void addPushback(std::vector<http1::field>& fields) const
    {
        if (m_target.limit)
            fields.push_back({ "Server-Limit", std::to_string(*m_target.limit) });
        if (m_target.saysLeaving)
            fields.push_back({ "Server-Leaving", "1" });
    }

    void answer(int status, const std::string& body, std::vector<http1::field> fields)
    {
        addPushback(fields);
        m_channel->write(http1::formatResponse({ status, "Status", std::move(fields) }, body, true));
        m_channel->closeAfterWrite();
        leave();
    }

    /// Goes on after a time, unless the target is frozen then; it comes back to it later.
    void wait(milliseconds time, std::function<void()> then)
    {
        const std::weak_ptr<target_session> weak = weak_from_this();
        m_timer.set(now() + time, [weak, time, then = std::move(then)] {
            const auto self = weak.lock();
            if (!self)
                return;
            if (self->m_target.isFrozen)
                self->wait(time, then);
            else
                then();
        });
    }

    fleet& m_fleet;
    fleet::target& m_target;
    net::channel_pointer m_channel;
    http1::request_parser m_parser;
    net::loop_timer m_timer;
    bool m_begun = false;
    bool m_isGarbled = false;
    bool m_isCut = false;
    std::string m_requestId;
    std::string m_path;
    std::vector<part_of_path> m_parts;
    std::size_t m_run = 0;
    std::uint64_t m_events = 0;
    std::uint64_t m_next = 1;
    steady_time m_stallEnd {};
};

} // namespace test_support
