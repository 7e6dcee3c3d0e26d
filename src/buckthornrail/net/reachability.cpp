/// @file
/// @brief Connection probes with timeout, retry and cached results.
#include "buckthornrail/net/reachability.hpp"

#include <array>
#include <optional>
#include <utility>

namespace buckthornrail::net {

struct reachability_prober::probe_state {
    explicit probe_state(link::event_loop& loop)
        : timer(loop)
    {
    }
    probe_state(const probe_state&) = delete;
    probe_state& operator=(const probe_state&) = delete;
    ~probe_state() { closeAll(); }

    void closeAll()
    {
        for (auto& connection : connections) {
            if (connection)
                std::exchange(connection, nullptr)->abort(false);
        }
    }

    loop_timer timer;
    std::array<connection_pointer, 2> connections;
    std::size_t connectionCount = 0;
    std::optional<reachability> result; ///< empty while the probe is in flight
    bool reportsOpen = false;
    steady_time expiresAt {}; ///< of the cached result
};

reachability_prober::reachability_prober(
    link::event_loop& loop, result_callback onResult, const reachability_options& options)
    : m_loop(loop)
    , m_onResult(std::move(onResult))
    , m_options(options)
{
}

reachability_prober::~reachability_prober()
{
    for (auto& [address, watched] : m_watchedByAddress) {
        if (watched.connection)
            watched.connection->abort(false);
    }
}

void reachability_prober::watch(const std::string& address)
{
    const steady_time now = boot_clock::now();
    auto& watched = m_watchedByAddress[address];
    watched.expiresAt = now + m_options.watchLifetime;
    if (!watched.connection && now >= watched.reconnectAt)
        connectWatch(address, watched, now);
    if (now >= m_nextExpiryCheckAt)
        removeExpiredWatches(now);
}

void reachability_prober::connectWatch(const std::string& address, watched_address& watched, steady_time now)
{
    watched.reconnectAt = now + m_options.watchReconnectDelay;
    connection_handlers handlers;
    handlers.ended = [this, address](connection_end) {
        const auto known = m_watchedByAddress.find(address);
        if (known == m_watchedByAddress.end())
            return;
        known->second.connection = nullptr;
        probe(address);
    };
    watched.connection = dial(m_loop, address, std::move(handlers));
}

void reachability_prober::removeExpiredWatches(steady_time now)
{
    m_nextExpiryCheckAt = now + m_options.watchReconnectDelay;
    std::erase_if(m_watchedByAddress, [now](auto& item) {
        if (now < item.second.expiresAt)
            return false;
        if (item.second.connection)
            item.second.connection->abort(false);
        return true;
    });
}

void reachability_prober::probe(const std::string& address)
{
    const steady_time now = boot_clock::now();
    std::erase_if(
        m_probesByAddress, [now](const auto& item) { return item.second->result && now >= item.second->expiresAt; });
    const auto known = m_probesByAddress.find(address);
    if (known == m_probesByAddress.end()) {
        startProbe(address);
        return;
    }
    const auto result = known->second->result;
    if (!result || *result == reachability::Open)
        return;
    known->second->timer.set(now, [this, address, result] { m_onResult(address, *result); });
}

void reachability_prober::reprobe(const std::string& address)
{
    const auto known = m_probesByAddress.find(address);
    if (known != m_probesByAddress.end() && known->second->result == reachability::Open)
        m_probesByAddress.erase(known);
    probe(address);
    if (const auto pending = m_probesByAddress.find(address); pending != m_probesByAddress.end())
        pending->second->reportsOpen = true;
}

void reachability_prober::startProbe(const std::string& address)
{
    ++m_probeCount;
    auto state = std::make_shared<probe_state>(m_loop);
    m_probesByAddress[address] = state;
    startConnection(address, state);
    const steady_time now = boot_clock::now();
    state->timer.set(now + m_options.retryDelay, [this, address, weak = std::weak_ptr(state), now] {
        const auto current = weak.lock();
        if (!current || current->result)
            return;
        startConnection(address, current);
        scheduleTimeout(address, now + m_options.timeout);
    });
}

void reachability_prober::startConnection(const std::string& address, const std::shared_ptr<probe_state>& state)
{
    const auto finishAs = [this, address, weak = std::weak_ptr(state)](reachability result) {
        const auto current = weak.lock();
        if (current && !current->result)
            finishProbe(address, result);
    };
    connection_handlers handlers;
    handlers.opened = [finishAs] { finishAs(reachability::Open); };
    handlers.ended = [finishAs](connection_end) { finishAs(reachability::Refused); };
    state->connections[state->connectionCount++] = dial(m_loop, address, std::move(handlers));
}

void reachability_prober::scheduleTimeout(const std::string& address, steady_time deadline)
{
    const auto known = m_probesByAddress.find(address);
    if (known == m_probesByAddress.end())
        return;
    known->second->timer.set(deadline, [this, address, deadline] {
        const steady_time now = boot_clock::now();
        if (now - deadline > m_options.maxTimerDelay)
            scheduleTimeout(address, now + m_options.retryDelay);
        else
            finishProbe(address, reachability::Silent);
    });
}

void reachability_prober::finishProbe(const std::string& address, reachability result)
{
    const auto known = m_probesByAddress.find(address);
    if (known == m_probesByAddress.end())
        return;
    const auto state = known->second;
    const steady_time now = boot_clock::now();
    state->result = result;
    state->expiresAt
        = now + (result == reachability::Open ? m_options.openResultLifetime : m_options.unreachableResultLifetime);
    state->timer.cancel();
    state->closeAll();
    if (result != reachability::Open || state->reportsOpen)
        m_onResult(address, result);
}

} // namespace buckthornrail::net
