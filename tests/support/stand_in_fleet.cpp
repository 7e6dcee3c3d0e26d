/// @file
/// @brief Behaviour of the stand-in targets.
#include "support/stand_in_fleet.hpp"

#include "buckthornrail/net/http_service.hpp"
#include "support/child_process.hpp"

#include <algorithm>
#include <charconv>
#include <deque>
#include <future>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <thread>

namespace test_support {
namespace {

using namespace buckthornrail;
using nlohmann::json;

constexpr milliseconds heartbeatPeriod { 200 };
constexpr milliseconds heartbeatPatience { 500 };
constexpr milliseconds eventPeriod { 8 };
constexpr milliseconds plainWork { 5 };
constexpr milliseconds stallTime { 700 }; ///< a stream whose member is gone stands still so long, then breaks off
constexpr milliseconds loadTime { 30 };

steady_time now() { return std::chrono::steady_clock::now(); }

std::uint64_t numberAfter(std::string_view text, std::string_view mark, std::uint64_t otherwise)
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

std::vector<part_of_path> readPath(std::string_view text)
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

} // namespace

struct stand_in_fleet::implementation {
    struct target {
        std::size_t number = 0;
        std::string id;
        std::size_t life = 0; ///< tells lives apart that have the same id
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
    std::vector<std::string> arrivals;
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
        m_fleet.arrivals.push_back(m_requestId);
        if (m_target.isDraining || m_fleet.drawn(m_target.faults.refuseShare)) {
            answer(503, "", { { "X-Buckthornrail-Not-Executed", "1" } });
            return;
        }
        serve();
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
        if (fails) {
            wait(plainWork, [this] { answer(500, "failed", marked()); });
        } else if (!isStream) {
            wait(plainWork, [this] { answerPlain(); });
        } else {
            m_events = numberAfter(m_path, "/n", 3);
            if (const auto last = http1::valueOf(head.fields, "Last-Event-Id"))
                m_next = static_cast<std::uint64_t>(std::stoull(std::string(*last))) + 1;
            auto fields = marked();
            fields.push_back({ "Content-Type", "text/event-stream" });
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

    void answer(int status, const std::string& body, std::vector<http1::field> fields)
    {
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

void stand_in_fleet::implementation::start(target& one)
{
    one.life = ++lives;
    if (!keepsIds || one.id.empty())
        one.id = "i-" + std::to_string(one.number) + "-" + std::to_string(one.life);
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto nowMs = static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(sinceEpoch).count());
    one.startedMs = keepsIds ? std::max(one.startedMs + 1, nowMs) : 0;
    one.first = one.end = 0;
    one.sequence = one.orders = one.fence = 0;
    one.isUp = true;
    one.isFrozen = one.isDraining = one.drainAcknowledged = one.isBusy = false;
    one.listener = std::make_unique<net::tcp_listener>(loop, [this, &one](net::channel_pointer channel) {
        auto opened = std::make_shared<target_session>(*this, one, std::move(channel));
        one.sessions.insert(opened);
        opened->begin();
    });
    one.listener->listen(one.address);
    beat(one);
    scheduleBeat(one.number, one.life);
}

void stand_in_fleet::implementation::stop(target& one)
{
    one.isUp = false;
    one.listener.reset();
    const auto open = one.sessions;
    for (const auto& each : open)
        each->reset();
}

void stand_in_fleet::implementation::scheduleBeat(std::size_t number, std::size_t life)
{
    loop.runAt(now() + heartbeatPeriod, [this, number, life] {
        auto& one = *targets[number];
        if (isEnding || one.life != life || !one.isUp)
            return;
        beat(one);
        scheduleBeat(number, life);
    });
}

json stand_in_fleet::implementation::announcement(const target& one)
{
    json body { { "service", one.service }, { "address", one.address }, { "zone", one.domain }, { "slots", 192 },
        { "state", one.isDraining ? "draining" : "ready" }, { "seq", one.sequence } };
    if (one.startedMs > 0)
        body["born"] = one.startedMs;
    if (!one.accelerator.empty())
        body["kind"] = one.accelerator;
    if (one.end > 0)
        body["layers"] = { { "from", one.first }, { "target", one.end } };
    return body;
}

void stand_in_fleet::implementation::beat(target& one)
{
    if (one.isFrozen || !one.announces)
        return;
    ++one.sequence;
    const std::string body = announcement(one).dump();
    const std::string& control = controls[(one.sequence + one.number) % controls.size()];
    net::http_call::start(loop, control, { { "PUT", "/instances/" + one.id, { { "Host", "control" } } }, body },
        now() + heartbeatPatience,
        [this, number = one.number, life = one.life, wasDraining = one.isDraining](
            net::call_outcome outcome, const net::whole_response& response) {
            auto& same = *targets[number];
            const bool isAcknowledged = outcome == net::call_outcome::Answered && response.head.status == 200;
            if (same.life == life && wasDraining && isAcknowledged)
                same.drainAcknowledged = true;
        });
}

stand_in_fleet::stand_in_fleet(std::vector<std::string> controls)
    : m_implementation(std::make_unique<implementation>(std::move(controls)))
{
}

stand_in_fleet::~stand_in_fleet()
{
    auto& own = *m_implementation;
    own.ask([&own] {
        own.isEnding = true;
        for (auto& one : own.targets)
            own.stop(*one);
    });
    own.loop.post([&own] { own.loop.stop(); });
    own.thread.join();
}

std::size_t stand_in_fleet::add(const std::string& service, const std::string& domain, const std::string& accelerator)
{
    auto& own = *m_implementation;
    return own.ask([&] {
        auto one = std::make_unique<implementation::target>();
        one->number = own.targets.size();
        one->service = service;
        one->domain = domain;
        one->accelerator = accelerator;
        one->address = freeAddress();
        own.targets.push_back(std::move(one));
        own.start(*own.targets.back());
        return own.targets.size() - 1;
    });
}

void stand_in_fleet::kill(std::size_t target)
{
    m_implementation->ask([&] { m_implementation->stop(*m_implementation->targets.at(target)); });
}

void stand_in_fleet::restart(std::size_t target)
{
    m_implementation->ask([&] {
        auto& one = *m_implementation->targets.at(target);
        if (one.isUp)
            m_implementation->stop(one);
        m_implementation->start(one);
    });
}

void stand_in_fleet::restartElsewhere(std::size_t target)
{
    m_implementation->ask([&] {
        auto& one = *m_implementation->targets.at(target);
        if (one.isUp)
            m_implementation->stop(one);
        one.address = freeAddress();
        m_implementation->start(one);
    });
}

void stand_in_fleet::keepIds()
{
    m_implementation->ask([&] { m_implementation->keepsIds = true; });
}

std::string stand_in_fleet::announcementOf(std::size_t target) const
{
    return m_implementation->ask(
        [&] { return implementation::announcement(*m_implementation->targets.at(target)).dump(); });
}

void stand_in_fleet::setFrozen(std::size_t target, bool frozen)
{
    m_implementation->ask([&] { m_implementation->targets.at(target)->isFrozen = frozen; });
}

void stand_in_fleet::drain(std::size_t target)
{
    m_implementation->ask([&] {
        auto& one = *m_implementation->targets.at(target);
        one.isDraining = true;
        m_implementation->beat(one);
    });
}

void stand_in_fleet::setAnnouncing(std::size_t target, bool announces)
{
    m_implementation->ask([&] { m_implementation->targets.at(target)->announces = announces; });
}

std::string stand_in_fleet::idOf(std::size_t target) const
{
    return m_implementation->ask([&] { return m_implementation->targets.at(target)->id; });
}

void stand_in_fleet::setFaults(std::size_t target, const target_faults& faults)
{
    m_implementation->ask([&] { m_implementation->targets.at(target)->faults = faults; });
}

std::vector<std::string> stand_in_fleet::arrivals() const
{
    return m_implementation->ask([this] { return m_implementation->arrivals; });
}

std::vector<fleet_run> stand_in_fleet::runs() const
{
    return m_implementation->ask([this] { return m_implementation->runs; });
}

bool stand_in_fleet::hasChain(const std::string& domain) const
{
    return m_implementation->ask([&] {
        std::set<std::uint32_t> held;
        for (const auto& one : m_implementation->targets) {
            for (auto layer = one->first; one->isUp && one->domain == domain && layer < one->end; ++layer)
                held.insert(layer);
        }
        return held.size() == layers;
    });
}

bool stand_in_fleet::isDrainAcknowledged(std::size_t target) const
{
    return m_implementation->ask([&] { return m_implementation->targets.at(target)->drainAcknowledged; });
}

std::string stand_in_fleet::plainBody(const std::string& path) { return "answer to " + path; }

std::string stand_in_fleet::eventBytes(const std::string& path, std::uint64_t id)
{
    return "id: " + std::to_string(id) + "\ndata: " + path + "#" + std::to_string(id) + "\n\n";
}

} // namespace test_support
