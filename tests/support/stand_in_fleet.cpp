/// @file
/// @brief Lifecycle, heartbeats and fault settings of the stand-in targets.
#include "support/stand_in_session.hpp"

namespace test_support {
namespace {

constexpr milliseconds heartbeatInterval { 200 };
constexpr milliseconds heartbeatTimeout { 500 };

} // namespace

void stand_in_fleet::implementation::start(target& one)
{
    one.incarnation = ++lastIncarnation;
    if (!keepsIds || one.id.empty())
        one.id = "i-" + std::to_string(one.index) + "-" + std::to_string(one.incarnation);
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto nowMs = static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(sinceEpoch).count());
    one.startedMs = keepsIds ? std::max(one.startedMs + 1, nowMs) : 0;
    one.firstLayer = one.endLayer = 0;
    one.heartbeatSequence = one.revision = one.fencingToken = 0;
    one.isUp = true;
    one.isUnresponsive = one.isDraining = one.isDrainAcknowledged = one.isLoading = false;
    one.listener = std::make_unique<net::tcp_listener>(loop, [this, &one](net::connection_pointer connection) {
        auto session = std::make_shared<target_session>(*this, one, std::move(connection));
        one.sessions.insert(session);
        session->begin();
    });
    one.listener->listen(one.address);
    sendHeartbeat(one);
    scheduleHeartbeat(one.index, one.incarnation);
}

void stand_in_fleet::implementation::terminate(target& one)
{
    one.isUp = false;
    one.listener.reset();
    const auto openSessions = one.sessions;
    for (const auto& session : openSessions)
        session->reset();
}

void stand_in_fleet::implementation::crash(target& one, const std::string& requestId, const std::string& path)
{
    if (std::exchange(one.crashedIncarnation, one.incarnation) == one.incarnation)
        return; // two attempts of the request at one target crash it once
    crashes.push_back({ requestId, path, one.id });
    // Posted, because terminating the target also ends the session that called this.
    loop.post([this, &one, incarnation = one.incarnation] {
        if (isShuttingDown || one.incarnation != incarnation)
            return;
        terminate(one);
        loop.runAt(now() + restartDelay, [this, &one, incarnation] {
            if (!isShuttingDown && one.incarnation == incarnation && !one.isUp)
                start(one);
        });
    });
}

void stand_in_fleet::implementation::scheduleHeartbeat(std::size_t index, std::size_t incarnation)
{
    loop.runAt(now() + heartbeatInterval, [this, index, incarnation] {
        auto& one = *targets[index];
        if (isShuttingDown || one.incarnation != incarnation || !one.isUp)
            return;
        sendHeartbeat(one);
        scheduleHeartbeat(index, incarnation);
    });
}

json stand_in_fleet::implementation::announcement(const target& one)
{
    json body { { "service", one.service }, { "address", one.address }, { "zone", one.domain }, { "slots", 192 },
        { "state", one.isDraining ? "draining" : "ready" }, { "seq", one.heartbeatSequence } };
    if (one.startedMs > 0)
        body["born"] = one.startedMs;
    if (!one.accelerator.empty())
        body["kind"] = one.accelerator;
    if (one.endLayer > 0)
        body["layers"] = { { "from", one.firstLayer }, { "target", one.endLayer } };
    return body;
}

void stand_in_fleet::implementation::sendHeartbeat(target& one)
{
    if (one.isUnresponsive || !one.announces)
        return;
    ++one.heartbeatSequence;
    const std::string body = announcement(one).dump();
    const std::string& controllerAddress
        = controllerAddresses[(one.heartbeatSequence + one.index) % controllerAddresses.size()];
    net::http_call::start(loop, controllerAddress,
        { { "PUT", "/instances/" + one.id, { { "Host", "control" } } }, body }, now() + heartbeatTimeout,
        [this, index = one.index, incarnation = one.incarnation, wasDraining = one.isDraining](
            net::call_outcome outcome, const net::whole_response& response) {
            auto& sender = *targets[index];
            const bool isAcknowledged = outcome == net::call_outcome::Responded && response.head.status == 200;
            if (sender.incarnation == incarnation && wasDraining && isAcknowledged)
                sender.isDrainAcknowledged = true;
        });
}

stand_in_fleet::stand_in_fleet(std::vector<std::string> controllerAddresses)
    : m_implementation(std::make_unique<implementation>(std::move(controllerAddresses)))
{
}

stand_in_fleet::~stand_in_fleet()
{
    auto& fleet = *m_implementation;
    fleet.runOnLoop([&fleet] {
        fleet.isShuttingDown = true;
        for (auto& one : fleet.targets)
            fleet.terminate(*one);
    });
    fleet.loop.post([&fleet] { fleet.loop.stop(); });
    fleet.thread.join();
}

std::size_t stand_in_fleet::add(const std::string& service, const std::string& domain, const std::string& accelerator)
{
    auto& fleet = *m_implementation;
    return fleet.runOnLoop([&] {
        auto one = std::make_unique<implementation::target>();
        one->index = fleet.targets.size();
        one->service = service;
        one->domain = domain;
        one->accelerator = accelerator;
        one->address = freeAddress();
        fleet.targets.push_back(std::move(one));
        fleet.start(*fleet.targets.back());
        return fleet.targets.size() - 1;
    });
}

void stand_in_fleet::kill(std::size_t target)
{
    m_implementation->runOnLoop([&] { m_implementation->terminate(*m_implementation->targets.at(target)); });
}

void stand_in_fleet::restart(std::size_t target)
{
    m_implementation->runOnLoop([&] {
        auto& one = *m_implementation->targets.at(target);
        if (one.isUp)
            m_implementation->terminate(one);
        m_implementation->start(one);
    });
}

void stand_in_fleet::restartElsewhere(std::size_t target)
{
    m_implementation->runOnLoop([&] {
        auto& one = *m_implementation->targets.at(target);
        if (one.isUp)
            m_implementation->terminate(one);
        one.address = freeAddress();
        m_implementation->start(one);
    });
}

void stand_in_fleet::keepIds()
{
    m_implementation->runOnLoop([&] { m_implementation->keepsIds = true; });
}

std::string stand_in_fleet::announcementOf(std::size_t target) const
{
    return m_implementation->runOnLoop(
        [&] { return implementation::announcement(*m_implementation->targets.at(target)).dump(); });
}

void stand_in_fleet::setUnresponsive(std::size_t target, bool unresponsive)
{
    m_implementation->runOnLoop([&] { m_implementation->targets.at(target)->isUnresponsive = unresponsive; });
}

void stand_in_fleet::drain(std::size_t target)
{
    m_implementation->runOnLoop([&] {
        auto& one = *m_implementation->targets.at(target);
        one.isDraining = true;
        m_implementation->sendHeartbeat(one);
    });
}

void stand_in_fleet::setAnnouncing(std::size_t target, bool announces)
{
    m_implementation->runOnLoop([&] { m_implementation->targets.at(target)->announces = announces; });
}

std::string stand_in_fleet::idOf(std::size_t target) const
{
    return m_implementation->runOnLoop([&] { return m_implementation->targets.at(target)->id; });
}

void stand_in_fleet::setFaults(std::size_t target, const target_faults& faults)
{
    m_implementation->runOnLoop([&] { m_implementation->targets.at(target)->faults = faults; });
}

void stand_in_fleet::setRetryAfter(std::size_t target, std::optional<std::chrono::milliseconds> retryAfter)
{
    m_implementation->runOnLoop([&] {
        m_implementation->targets.at(target)->retryAfter = retryAfter;
        m_implementation->targets.at(target)->firstRefusalAt.reset();
    });
}

void stand_in_fleet::setReportsLeaving(std::size_t target, bool reports)
{
    m_implementation->runOnLoop([&] { m_implementation->targets.at(target)->reportsLeaving = reports; });
}

std::vector<std::chrono::steady_clock::time_point> stand_in_fleet::controlCallsAt(std::size_t target) const
{
    return m_implementation->runOnLoop([&] { return m_implementation->targets.at(target)->controlCalls; });
}

std::optional<std::chrono::steady_clock::time_point> stand_in_fleet::firstRefusalAt(std::size_t target) const
{
    return m_implementation->runOnLoop([&] { return m_implementation->targets.at(target)->firstRefusalAt; });
}

void stand_in_fleet::setLimit(std::size_t target, std::optional<double> perSecond)
{
    m_implementation->runOnLoop([&] { m_implementation->targets.at(target)->limit = perSecond; });
}

std::vector<std::string> stand_in_fleet::arrivals() const
{
    return m_implementation->runOnLoop([this] {
        std::vector<std::string> ids;
        for (const auto& one : m_implementation->arrivals)
            ids.push_back(one.requestId);
        return ids;
    });
}

std::vector<fleet_arrival> stand_in_fleet::arrivalsAt(std::size_t target) const
{
    return m_implementation->runOnLoop([&] {
        std::vector<fleet_arrival> found;
        for (const auto& one : m_implementation->arrivals) {
            if (one.target == m_implementation->targets.at(target)->id)
                found.push_back(one);
        }
        return found;
    });
}

std::vector<fleet_run> stand_in_fleet::runs() const
{
    return m_implementation->runOnLoop([this] { return m_implementation->runs; });
}

std::vector<fleet_crash> stand_in_fleet::crashes() const
{
    return m_implementation->runOnLoop([this] { return m_implementation->crashes; });
}

bool stand_in_fleet::hasChain(const std::string& domain) const
{
    return m_implementation->runOnLoop([&] {
        std::set<std::uint32_t> held;
        for (const auto& one : m_implementation->targets) {
            for (auto layer = one->firstLayer; one->isUp && one->domain == domain && layer < one->endLayer; ++layer)
                held.insert(layer);
        }
        return held.size() == layers;
    });
}

bool stand_in_fleet::isDrainAcknowledged(std::size_t target) const
{
    return m_implementation->runOnLoop([&] { return m_implementation->targets.at(target)->isDrainAcknowledged; });
}

std::string stand_in_fleet::plainBody(const std::string& path) { return "answer to " + path; }

std::string stand_in_fleet::eventBytes(const std::string& path, std::uint64_t id)
{
    return "id: " + std::to_string(id) + "\ndata: " + path + "#" + std::to_string(id) + "\n\n";
}

} // namespace test_support
