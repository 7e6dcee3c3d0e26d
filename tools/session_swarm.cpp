/// @file
/// @brief Holds many daemons' sessions with controllers from one process, to measure what sessions cost.
///
/// Each session announces a ready sidecar, sends heartbeats and takes what it is sent; there is no target behind it.
#include "buckthornrail/link/link_hub.hpp"
#include "buckthornrail/link/message.hpp"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>
#include <tclap/CmdLine.h>

namespace {

using namespace buckthornrail; // NOLINT(google-build-using-namespace)

constexpr std::uint32_t modelCount = 33;
constexpr std::uint32_t domainCount = 19;
constexpr std::size_t largestReadBytes = 1000;

struct swarm_options {
    std::vector<std::string> controllers;
    std::uint32_t sessions = 100;
    std::uint32_t seconds = 10;
    std::uint32_t heartbeatMs = 1000;
    std::uint64_t firstNumber = 0; ///< of the instances' names
};

class session_swarm {
public:
    explicit session_swarm(swarm_options options)
        : m_options(std::move(options))
        , m_hub(m_loop,
              { [this](auto channel, bool) { announce(channel); }, [this](auto channel) { lost(channel); },
                  [this](auto channel, const auto& bytes) { receive(channel, bytes); } })
    {
    }

    nlohmann::json run()
    {
        const auto begin = std::chrono::steady_clock::now();
        for (std::uint32_t at = 0; at < m_options.sessions; ++at) {
            // Spread over a heartbeat period, as daemons that started at different times are.
            const auto offset = milliseconds(at * m_options.heartbeatMs / m_options.sessions);
            m_loop.runAt(begin + offset, [this, at] { open(at); });
        }
        m_loop.runAt(begin + std::chrono::seconds(m_options.seconds), [this] { m_loop.stop(); });
        m_loop.run();
        std::sort(m_ackMs.begin(), m_ackMs.end());
        const auto part = [this](double where) {
            return m_ackMs.empty() ? 0.0
                                   : m_ackMs[static_cast<std::size_t>(where * static_cast<double>(m_ackMs.size() - 1))];
        };
        return { { "sessions", m_sessions.size() }, { "lost", m_lost }, { "acks", m_ackMs.size() },
            { "ack_ms_p50", part(0.5) }, { "ack_ms_p99", part(0.99) }, { "ack_ms_max", part(1) },
            { "bytes_received", m_hub.bytesReceived() }, { "bytes_sent", m_hub.bytesSent() },
            { "state_bytes", m_stateBytes }, { "versions", versions() } };
    }

private:
    struct session {
        std::uint32_t number = 0;
        std::uint64_t sequence = 0;
        std::map<std::uint64_t, steady_time> sent;
        configuration_version version = 0;
    };

    void open(std::uint32_t number)
    {
        const auto channel = m_hub.dial(m_options.controllers[number % m_options.controllers.size()]);
        m_sessions[channel].number = number;
    }

    void announce(link::channel_number channel)
    {
        const auto number = m_options.firstNumber + m_sessions[channel].number;
        link::session_announce message;
        auto& record = message.record;
        // One in eight is an entry, as at the size designed for; the rest are sidecars.
        const bool isEntry = number % 8 == 0;
        message.wantsState = isEntry;
        record.id = "swarm-" + std::to_string(number);
        record.role = isEntry ? membership::instance_role::Entry : membership::instance_role::Sidecar;
        record.incarnation = 1;
        record.failureDomain = "domain-" + std::to_string(number % domainCount);
        record.linkAddress = "127.0.0.1:9";
        record.httpAddress = "127.0.0.1:9";
        record.state = membership::instance_state::Ready;
        record.target.model = "model-" + std::to_string(number % modelCount);
        record.target.version = "1";
        record.target.pool = "default";
        m_hub.send(channel, link::encode(message));
        beat(channel);
    }

    void beat(link::channel_number channel)
    {
        const auto found = m_sessions.find(channel);
        if (found == m_sessions.end())
            return;
        auto& one = found->second;
        const auto now = std::chrono::steady_clock::now();
        one.sent[++one.sequence] = now;
        m_hub.send(channel, link::encode(link::session_heartbeat { one.sequence }));
        m_loop.runAt(now + milliseconds(m_options.heartbeatMs), [this, channel] { beat(channel); });
    }

    void receive(link::channel_number channel, const std::string& bytes)
    {
        // Documents and tables are counted, not read: one process would be busier with them than hundreds of daemons.
        if (bytes.size() > largestReadBytes) {
            m_stateBytes += bytes.size();
            return;
        }
        const auto message = link::decode(bytes);
        if (!message)
            return;
        auto& one = m_sessions[channel];
        const auto* ack = std::get_if<link::session_ack>(&*message);
        if (ack == nullptr)
            return;
        const auto sent = one.sent.find(ack->sequence);
        if (sent == one.sent.end())
            return;
        one.version = ack->configuration;
        const auto taken = std::chrono::steady_clock::now() - sent->second;
        m_ackMs.push_back(std::chrono::duration<double, std::milli>(taken).count());
        one.sent.erase(one.sent.begin(), std::next(sent));
    }

    void lost(link::channel_number channel)
    {
        m_sessions.erase(channel);
        ++m_lost;
    }

    [[nodiscard]] std::vector<configuration_version> versions() const
    {
        std::set<configuration_version> held;
        for (const auto& [channel, one] : m_sessions)
            held.insert(one.version);
        return { held.begin(), held.end() };
    }

    swarm_options m_options;
    link::event_loop m_loop;
    std::map<link::channel_number, session> m_sessions;
    std::vector<double> m_ackMs;
    std::uint64_t m_lost = 0;
    std::uint64_t m_stateBytes = 0;
    link::link_hub m_hub;
};

swarm_options readOptions(int argc, char** argv)
{
    swarm_options options;
    TCLAP::CmdLine line("Many sessions with controllers.", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> controllers("", "controllers", "Link addresses", true, "", "IP:port,...", line);
    TCLAP::ValueArg<std::uint32_t> sessions("", "sessions", "How many", false, options.sessions, "number", line);
    TCLAP::ValueArg<std::uint32_t> seconds("", "seconds", "How long", false, options.seconds, "number", line);
    TCLAP::ValueArg<std::uint32_t> heartbeat("", "heartbeat-ms", "Period", false, options.heartbeatMs, "number", line);
    line.parse(argc, argv);
    std::istringstream stream(controllers.getValue());
    for (std::string part; std::getline(stream, part, ',');)
        options.controllers.push_back(part);
    options.sessions = sessions.getValue();
    options.seconds = seconds.getValue();
    options.heartbeatMs = heartbeat.getValue();
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const swarm_options options = readOptions(argc, argv);
    for (const auto& address : options.controllers) {
        if (!address.starts_with("127.")) {
            std::cerr << "load goes to loopback only\n";
            return 2;
        }
    }
    std::cout << session_swarm(options).run().dump() << "\n";
    return 0;
}
