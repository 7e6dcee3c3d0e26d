/// @file
/// @brief Lifecycle, heartbeats and fault settings of the stand-in targets.
#include "support/stand_in_session.hpp"

namespace test_support {
namespace {

constexpr milliseconds heartbeatInterval { 200 };
constexpr milliseconds heartbeatTimeout { 500 };

} // namespace

void stand_in_fleet::implementation::start(target& standIn)
{
    standIn.incarnation = ++lastIncarnation;
    if (!keepsIds || standIn.id.empty())
        standIn.id = "i-" + std::to_string(standIn.index) + "-" + std::to_string(standIn.incarnation);
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto nowMs = static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(sinceEpoch).count());
    standIn.startedMs = keepsIds ? std::max(standIn.startedMs + 1, nowMs) : 0;
    standIn.firstLayer = standIn.endLayer = 0;
    standIn.heartbeatSequence = standIn.revision = standIn.fencingToken = 0;
    standIn.isUp = true;
    standIn.isUnresponsive = standIn.isDraining = standIn.isDrainAcknowledged = standIn.isLoading = false;
    standIn.listener = std::make_unique<net::tcp_listener>(loop, [this, &standIn](net::connection_pointer connection) {
        auto session = std::make_shared<target_session>(*this, standIn, std::move(connection));
        standIn.sessions.insert(session);
        session->begin();
    });
    standIn.listener->listen(standIn.address);
    sendHeartbeat(standIn);
    scheduleHeartbeat(standIn.index, standIn.incarnation);
}

void stand_in_fleet::implementation::terminate(target& standIn)
{
    standIn.isUp = false;
    standIn.listener.reset();
    const auto openSessions = standIn.sessions;
    for (const auto& session : openSessions)
        session->reset();
}

void stand_in_fleet::implementation::crash(target& standIn, fleet_crash cause)
{
    if (!standIn.isUp || std::exchange(standIn.crashedIncarnation, standIn.incarnation) == standIn.incarnation)
        return; // two attempts at one target crash it once
    cause.target = standIn.id;
    cause.crashedAt = std::chrono::steady_clock::now();
    crashes.push_back(std::move(cause));
    // Posted, because terminating the target also ends the session that called this.
    loop.post([this, &standIn, incarnation = standIn.incarnation] {
        if (isShuttingDown || standIn.incarnation != incarnation)
            return;
        terminate(standIn);
        loop.runAt(now() + restartDelay, [this, &standIn, incarnation] {
            if (!isShuttingDown && standIn.incarnation == incarnation && !standIn.isUp)
                start(standIn);
        });
    });
}

void stand_in_fleet::implementation::scheduleHeartbeat(std::size_t index, std::size_t incarnation)
{
    loop.runAt(now() + heartbeatInterval, [this, index, incarnation] {
        auto& standIn = *targets[index];
        if (isShuttingDown || standIn.incarnation != incarnation || !standIn.isUp)
            return;
        sendHeartbeat(standIn);
        scheduleHeartbeat(index, incarnation);
    });
}

json stand_in_fleet::implementation::announcement(const target& standIn)
{
    json body { { "service", standIn.service }, { "address", standIn.address }, { "zone", standIn.domain },
        { "slots", 192 }, { "state", standIn.isDraining ? "draining" : "ready" },
        { "seq", standIn.heartbeatSequence } };
    if (standIn.startedMs > 0)
        body["born"] = standIn.startedMs;
    if (!standIn.accelerator.empty())
        body["kind"] = standIn.accelerator;
    if (standIn.endLayer > 0)
        body["layers"] = { { "from", standIn.firstLayer }, { "target", standIn.endLayer } };
    return body;
}

void stand_in_fleet::implementation::sendHeartbeat(target& standIn)
{
    if (standIn.isUnresponsive || !standIn.announces)
        return;
    ++standIn.heartbeatSequence;
    const std::string body = announcement(standIn).dump();
    const std::string& controllerAddress
        = controllerAddresses[(standIn.heartbeatSequence + standIn.index) % controllerAddresses.size()];
    net::http_call::start(loop, controllerAddress,
        { { "PUT", "/instances/" + standIn.id, { { "Host", "control" } } }, body }, now() + heartbeatTimeout,
        [this, index = standIn.index, incarnation = standIn.incarnation, wasDraining = standIn.isDraining](
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

void stand_in_fleet::setControllers(std::vector<std::string> addresses)
{
    m_implementation->runOnLoop([&] { m_implementation->controllerAddresses = std::move(addresses); });
}

stand_in_fleet::~stand_in_fleet()
{
    auto& fleet = *m_implementation;
    fleet.runOnLoop([&fleet] {
        fleet.isShuttingDown = true;
        for (auto& standIn : fleet.targets)
            fleet.terminate(*standIn);
    });
    fleet.loop.post([&fleet] { fleet.loop.stop(); });
    fleet.thread.join();
}

std::size_t stand_in_fleet::add(const std::string& service, const std::string& domain, const std::string& accelerator)
{
    auto& fleet = *m_implementation;
    return fleet.runOnLoop([&] {
        auto standIn = std::make_unique<implementation::target>();
        standIn->index = fleet.targets.size();
        standIn->service = service;
        standIn->domain = domain;
        standIn->accelerator = accelerator;
        standIn->address = freeAddress();
        fleet.targets.push_back(std::move(standIn));
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
        auto& standIn = *m_implementation->targets.at(target);
        if (standIn.isUp)
            m_implementation->terminate(standIn);
        m_implementation->start(standIn);
    });
}

void stand_in_fleet::restartElsewhere(std::size_t target)
{
    m_implementation->runOnLoop([&] {
        auto& standIn = *m_implementation->targets.at(target);
        if (standIn.isUp)
            m_implementation->terminate(standIn);
        standIn.address = freeAddress();
        m_implementation->start(standIn);
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
        auto& standIn = *m_implementation->targets.at(target);
        standIn.isDraining = true;
        m_implementation->sendHeartbeat(standIn);
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
        for (const auto& arrival : m_implementation->arrivals)
            ids.push_back(arrival.requestId);
        return ids;
    });
}

std::vector<fleet_arrival> stand_in_fleet::allArrivals() const
{
    return m_implementation->runOnLoop([this] { return m_implementation->arrivals; });
}

std::vector<fleet_arrival> stand_in_fleet::arrivalsAt(std::size_t target) const
{
    return m_implementation->runOnLoop([&] {
        std::vector<fleet_arrival> found;
        for (const auto& arrival : m_implementation->arrivals) {
            if (arrival.target == m_implementation->targets.at(target)->id)
                found.push_back(arrival);
        }
        return found;
    });
}

std::vector<endless_end> stand_in_fleet::endlessEnds() const
{
    return m_implementation->runOnLoop([this] { return m_implementation->endlessEnds; });
}

std::vector<fleet_run> stand_in_fleet::runs() const
{
    return m_implementation->runOnLoop([this] { return m_implementation->runs; });
}

void stand_in_fleet::setCrashingParts(std::vector<crashing_part> parts)
{
    m_implementation->runOnLoop([&] { m_implementation->crashingParts = std::move(parts); });
}

std::vector<fleet_crash> stand_in_fleet::crashes() const
{
    return m_implementation->runOnLoop([this] { return m_implementation->crashes; });
}

bool stand_in_fleet::hasChain(const std::string& domain) const
{
    return m_implementation->runOnLoop([&] {
        std::set<std::uint32_t> loadedLayers;
        for (const auto& standIn : m_implementation->targets) {
            for (auto layer = standIn->firstLayer;
                 standIn->isUp && standIn->domain == domain && layer < standIn->endLayer; ++layer)
                loadedLayers.insert(layer);
        }
        return loadedLayers.size() == layers;
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
