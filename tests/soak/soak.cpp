/// @file
/// @brief Randomized soak test with real processes: injects overlapping faults and checks the invariants meanwhile.
///
/// soak --seed N [--seconds S] [--gateways G] [--engines E] [--pushback] [--ranked] [--parts] [--replace]. Exits with 0
/// if no invariant was violated, with 1 after a violation (it is printed, and the logs are kept), with 2 after an
/// error.
#include "soak/crashing_part_check.hpp"
#include "soak/ranked_callers.hpp"
#include "soak/registry_replacement.hpp"
#include "soak/response_faults.hpp"
#include "soak/soak_options.hpp"
#include "support/rate_limit_bounds.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <deque>
#include <filesystem>
#include <iostream>
#include <random>
#include <tclap/CmdLine.h>
#include <thread>

namespace {

using namespace test_support;
using std::chrono::milliseconds;
using std::chrono::seconds;
using clock_type = std::chrono::steady_clock;

constexpr seconds recoveryTimeout { 15 }; ///< from the end of the last fault until all processes serve again
/// From the acknowledgement of a document until no registry returns an older one.
constexpr milliseconds propagationTimeout { 2500 };
/// From the beginning of a disk loss or a replacement until the next one: data survives one at a time only.
constexpr seconds diskLossInterval { 8 };
constexpr seconds replacementInterval { 12 };
constexpr seconds shutdownTimeout { 9 }; ///< from SIGTERM until the process exits
/// From the return of a quorum: an election, and the next heartbeat of a gateway that has no document.
constexpr seconds quorumRecoveryTime { 3 };
constexpr std::uint64_t throttledLinkRate = 150'000; ///< bytes per second; a large document takes 1 to 2 s

/// A fault in progress and the action that ends it.
struct active_fault {
    clock_type::time_point end;
    std::string description;
    std::function<void()> undo;
};

class soak_run {
public:
    explicit soak_run(const soak_options& options)
        : m_options(options)
        , m_random(options.seed)
        , m_pushbackRandom(options.seed + 1)
        , m_responseRandom(options.seed + 2)
        , m_cluster(options.gateways, options.enginesPerDomain)
        , m_replacement(m_cluster, m_violations, options.seed + 4)
    {
    }

    bool run()
    {
        if (!m_cluster.start()) {
            m_violations.report("the system didn't start");
            return false;
        }
        if (m_options.seed % 2 == 0)
            m_cluster.fleet().keepIds();
        if (m_options.withRanks)
            beginRanking();
        if (m_options.withCrashingPart)
            m_crashingPart.emplace(m_cluster, m_options.seed);
        caller_pool callers(m_cluster, m_options.seed);
        const auto end = clock_type::now() + m_options.duration;
        while (clock_type::now() < end) {
            if (!m_options.withReplacements || !prepareReplacement())
                injectFault();
            if (m_options.withPushback)
                pushBack();
            endDueFaults(clock_type::now());
            recordQuorumOutage();
            publishOrRead();
            std::this_thread::sleep_for(milliseconds(50 + m_random() % 400));
        }
        endDueFaults(clock_type::time_point::max());
        checkRecovery();
        if (m_options.withReplacements)
            m_replacement.checkMembers(recoveryTimeout);
        if (m_crashingPart) {
            m_crashingPart->stop();
            m_crashingPart->check(m_violations);
        }
        checkCalls(callers.stop());
        if (m_rankedCallers) {
            const auto records = m_rankedCallers->stop();
            checkCalls(records);
            checkShares(records, m_violations);
        }
        if (m_violations.count() > 0)
            std::cout << "logs: " << m_cluster.keepFolder() << std::endl;
        return m_violations.count() == 0;
    }

private:
    using fault_action = void (soak_run::*)();

    /// @brief Records periods in which too few registries run without a fault of their own for a quorum.
    void recordQuorumOutage()
    {
        const auto& all = m_cluster.registries();
        const auto runningCount = std::count_if(
            all.begin(), all.end(), [this](const std::string& name) { return !m_reserved.contains(name); });
        const auto now = clock_type::now();
        if (runningCount * 2 <= static_cast<std::ptrdiff_t>(all.size())) {
            if (m_quorumOutages.empty() || now > m_quorumOutages.back().second)
                m_quorumOutages.emplace_back(now, now);
            m_quorumOutages.back().second = now + quorumRecoveryTime;
        }
    }

    /// @brief Whether a gateway refused a call because it had started without a quorum to get a document from.
    [[nodiscard]] bool lacksDocument(const call_record& record) const
    {
        if (record.response.status != 503 || record.response.body.find("\"no_configuration\"") == std::string::npos)
            return false;
        return std::any_of(m_quorumOutages.begin(), m_quorumOutages.end(), [&record](const auto& outage) {
            return record.receivedAt >= outage.first && record.receivedAt < outage.second;
        });
    }

    void injectFault()
    {
        static constexpr std::array<fault_action, 13> faults { &soak_run::killProcess, &soak_run::pauseProcess,
            &soak_run::stopGracefully, &soak_run::killTarget, &soak_run::restartTarget, &soak_run::pauseTarget,
            &soak_run::makeTargetFaulty, &soak_run::impairLinks, &soak_run::throttleLinks, &soak_run::resetLinks,
            &soak_run::loseDisk, &soak_run::reloadSettings, &soak_run::sendMalformedRecords };
        (this->*faults[m_random() % faults.size()])();
    }

    void beginFault(const std::string& description, milliseconds duration, std::function<void()> undo)
    {
        std::cout << "+ " << description << std::endl;
        m_activeFaults.push_back({ clock_type::now() + duration, description, std::move(undo) });
    }

    void endDueFaults(clock_type::time_point now)
    {
        for (auto& fault : m_activeFaults) {
            if (fault.end > now)
                continue;
            fault.undo();
            std::cout << "- " << fault.description << std::endl;
        }
        std::erase_if(m_activeFaults, [now](const active_fault& fault) { return fault.end <= now; });
    }

    std::string randomProcess()
    {
        const auto& registries = m_cluster.registries();
        const auto& gateways = m_cluster.gateways();
        const std::size_t index = m_random() % (registries.size() + gateways.size());
        return index < registries.size() ? registries[index] : gateways[index - registries.size()];
    }
    std::size_t randomTarget()
    {
        const auto& engines = m_cluster.engines();
        const auto& plain = m_cluster.plainTargets();
        const std::size_t index = m_random() % (engines.size() + plain.size());
        return index < engines.size() ? engines[index] : plain[index - engines.size()];
    }
    milliseconds randomDuration() { return milliseconds(200 + m_random() % 2500); }
    bool reserve(const std::string& name) { return m_reserved.insert(name).second; }

    void killProcess()
    {
        const std::string name = randomProcess();
        if (!reserve(name))
            return;
        m_cluster.killHard(name);
        beginFault("killed " + name, randomDuration(), [this, name] {
            m_cluster.startProcess(name);
            m_reserved.erase(name);
        });
    }

    void pauseProcess()
    {
        const std::string name = randomProcess();
        if (!reserve(name))
            return;
        m_cluster.signal(name, SIGSTOP);
        beginFault("paused " + name, randomDuration(), [this, name] {
            m_cluster.signal(name, SIGCONT);
            m_reserved.erase(name);
        });
    }

    void stopGracefully()
    {
        const std::string name = randomProcess();
        if (!reserve(name))
            return;
        m_cluster.signal(name, SIGTERM);
        const auto deadline = clock_type::now() + shutdownTimeout;
        beginFault("stopping " + name, shutdownTimeout, [this, name, deadline] {
            // The end of the soak test may end this fault early: the process still has the rest of its timeout.
            const auto remaining = std::max<clock_type::duration>(deadline - clock_type::now(), milliseconds(0));
            const int status
                = m_cluster.waitForExit(name, std::chrono::duration_cast<milliseconds>(remaining) + milliseconds(500));
            if (status != 0)
                m_violations.report(name + " didn't exit cleanly after SIGTERM: status " + std::to_string(status));
            if (status == -1)
                m_cluster.killHard(name);
            m_cluster.startProcess(name);
            m_reserved.erase(name);
        });
    }

    void killTarget()
    {
        const std::size_t target = randomTarget();
        if (!reserve("target" + std::to_string(target)))
            return;
        m_cluster.fleet().kill(target);
        beginFault("killed target " + std::to_string(target), randomDuration(), [this, target] {
            m_cluster.fleet().restart(target);
            m_reserved.erase("target" + std::to_string(target));
        });
    }

    /// Restarts a target one to three times in quick succession. With even seeds, targets keep their ids.
    void restartTarget()
    {
        const std::size_t target = randomTarget();
        if (m_reserved.contains("target" + std::to_string(target)))
            return;
        const bool changesAddress = m_random() % 4 == 0;
        for (auto restarts = 1 + m_random() % 3; restarts > 0; --restarts) {
            if (changesAddress)
                m_cluster.fleet().restartElsewhere(target);
            else
                m_cluster.fleet().restart(target);
        }
        std::cout << "! restarted target " << target << (changesAddress ? " at another address" : "") << std::endl;
    }

    /// Sends malformed records, as another writer may, under the id of a target or a new one.
    void sendMalformedRecords()
    {
        const std::string registry = m_cluster.registries()[m_random() % m_cluster.registries().size()];
        const std::size_t target = randomTarget();
        const std::string valid = m_cluster.fleet().announcementOf(target);
        const std::string id = m_random() % 2 == 0 ? m_cluster.fleet().idOf(target) : "i-broken";
        for (int number = 0; number < 20; ++number) {
            std::string body = valid.substr(0, m_random() % valid.size());
            if (number % 2 == 0)
                body = "{\"service\":7,\"state\":[],\"address\":null}";
            const int status = m_cluster.sendRecord(registry, "PUT", id, body);
            if (status == 200)
                m_violations.report(registry + " accepted the malformed record " + body);
        }
        if (!m_cluster.targetState(registry, "i-broken").empty())
            m_violations.report(registry + " created a target from a malformed record");
        std::cout << "! sent malformed records to " << registry << std::endl;
    }

    void pauseTarget()
    {
        const std::size_t target = randomTarget();
        if (!reserve("target" + std::to_string(target)))
            return;
        m_cluster.fleet().setUnresponsive(target, true);
        beginFault("paused target " + std::to_string(target), randomDuration(), [this, target] {
            m_cluster.fleet().setUnresponsive(target, false);
            m_reserved.erase("target" + std::to_string(target));
        });
    }

    void makeTargetFaulty()
    {
        const std::size_t target = randomTarget();
        if (!reserve("target" + std::to_string(target)))
            return;
        m_cluster.fleet().setFaults(target, drawResponseFaults(m_responseRandom));
        beginFault("faulty responses from target " + std::to_string(target), randomDuration(), [this, target] {
            m_cluster.fleet().setFaults(target, {});
            m_reserved.erase("target" + std::to_string(target));
        });
    }

    /// Lets a target request a backoff or name a rate limit. Has its own random generator, so that --pushback doesn't
    /// change the other faults of a seed.
    void pushBack()
    {
        if (m_pushbackRandom() % 4 != 0)
            return;
        const auto& engines = m_cluster.engines();
        const auto& plain = m_cluster.plainTargets();
        const std::size_t target = m_pushbackRandom() % 2 == 0 ? plain[m_pushbackRandom() % plain.size()]
                                                               : engines[m_pushbackRandom() % engines.size()];
        if (!reserve("pushback" + std::to_string(target)))
            return;
        if (m_pushbackRandom() % 3 == 0)
            requestBackoff(target);
        else
            limitRate(target);
    }

    void requestBackoff(std::size_t target)
    {
        m_cluster.fleet().setRetryAfter(target, milliseconds(500 + m_pushbackRandom() % 1500));
        beginFault("target " + std::to_string(target) + " requests a backoff", milliseconds(2000), [this, target] {
            m_cluster.fleet().setRetryAfter(target, std::nullopt);
            m_reserved.erase("pushback" + std::to_string(target));
        });
    }

    void limitRate(std::size_t target)
    {
        const double perSecond = static_cast<double>(1 + m_pushbackRandom() % 50) / 10;
        m_cluster.fleet().setLimit(target, perSecond);
        beginFault("target " + std::to_string(target) + " names a limit of " + std::to_string(perSecond)
                + " requests per second",
            limitGracePeriod + milliseconds(2000 + m_pushbackRandom() % 6000),
            [this, target, perSecond, from = clock_type::now() + limitGracePeriod] {
                checkLimit(target, perSecond, from);
                m_cluster.fleet().setLimit(target, std::nullopt);
                m_reserved.erase("pushback" + std::to_string(target));
            });
    }

    void checkLimit(std::size_t target, double perSecond, clock_type::time_point from)
    {
        const auto peak = peakRequestsPerWindow(m_cluster.fleet().arrivalsAt(target), from);
        if (static_cast<double>(peak) > maxRequestsPerWindow(perSecond))
            m_violations.report("target " + std::to_string(target) + " named a limit of " + std::to_string(perSecond)
                + " requests per second and got " + std::to_string(peak) + " in 4 s");
    }

    void impairLinks()
    {
        static constexpr std::array modes { relay_mode::Silent, relay_mode::UpstreamOnly, relay_mode::DownstreamOnly,
            relay_mode::Slow };
        const std::string name = m_cluster.registries()[m_random() % m_cluster.registries().size()];
        if (!reserve("link" + name))
            return;
        const std::size_t mode = m_random() % modes.size();
        m_cluster.linkRelay(name).setMode(modes[mode]);
        beginFault("impaired the links of " + name + ", mode " + std::to_string(mode), randomDuration(), [this, name] {
            m_cluster.linkRelay(name).setMode(relay_mode::Pass);
            m_reserved.erase("link" + name);
        });
    }

    void throttleLinks()
    {
        const std::string name = m_cluster.registries()[m_random() % m_cluster.registries().size()];
        if (!reserve("link" + name))
            return;
        m_cluster.linkRelay(name).setRate(throttledLinkRate);
        beginFault("throttled the links of " + name, randomDuration(), [this, name] {
            m_cluster.linkRelay(name).setRate(0);
            m_reserved.erase("link" + name);
        });
    }

    void resetLinks()
    {
        const std::string name = m_cluster.registries()[m_random() % m_cluster.registries().size()];
        m_cluster.linkRelay(name).resetConnections();
        std::cout << "! reset the links of " << name << std::endl;
    }

    /// One disk at a time, with time for the other members to restore the copy: data survives the loss of one only.
    void loseDisk()
    {
        const std::string name = m_cluster.registries()[m_random() % m_cluster.registries().size()];
        if (!mayLoseDisk() || !reserve(name))
            return;
        m_nextDiskLoss = clock_type::now() + diskLossInterval;
        m_cluster.killHard(name);
        m_cluster.loseDisk(name);
        beginFault("lost the disk of " + name, milliseconds(500), [this, name] {
            m_cluster.startProcess(name);
            m_reserved.erase(name);
        });
    }

    bool hasRegistryFault() const
    {
        return std::any_of(m_activeFaults.begin(), m_activeFaults.end(),
            [](const active_fault& fault) { return fault.description.find("registry") != std::string::npos; });
    }

    bool mayLoseDisk() { return !hasRegistryFault() && clock_type::now() >= m_nextDiskLoss && allRegistriesReadable(); }

    /// When a replacement is due, lets the registries recover from earlier faults, then replaces one for good. Further
    /// faults go on meanwhile.
    /// @return whether no other fault may begin now
    bool prepareReplacement()
    {
        const auto now = clock_type::now();
        if (now < m_nextReplacement)
            return false;
        if (hasRegistryFault())
            m_calmSince = now;
        if (now < m_calmSince + registry_replacement::catchUpTime || !mayLoseDisk())
            return true;
        m_nextReplacement = now + replacementInterval;
        m_nextDiskLoss = now + replacementInterval;
        const std::string name = m_replacement.choose();
        (void)reserve(name);
        const auto started = m_replacement.begin(name);
        beginFault(started.description, started.duration, [this, name, finish = started.finish] {
            finish();
            m_reserved.erase(name);
        });
        return false;
    }

    void reloadSettings()
    {
        const std::string name = randomProcess();
        if (m_cluster.isRunning(name) && !m_reserved.contains(name))
            m_cluster.signal(name, SIGHUP);
    }

    bool allRegistriesReadable()
    {
        return std::all_of(m_cluster.registries().begin(), m_cluster.registries().end(),
            [this](const std::string& name) { return m_cluster.readVersion(name).has_value(); });
    }

    /// Publishes a document or reads the version. No read may return an older version than was acknowledged before the
    /// propagation timeout.
    void publishOrRead()
    {
        const std::string registry = m_cluster.registries()[m_random() % m_cluster.registries().size()];
        if (m_random() % 3 == 0) {
            const std::uint64_t version = ++m_version;
            document_options options;
            options.extraRoute = "v" + std::to_string(version);
            if (m_random() % 4 == 0) {
                options.fillerRoutes = 500;
                options.fillerPathLength = 300; // 100 KB even when compressed
            }
            if (m_options.withRanks)
                addRankedRoutes(options);
            if (m_cluster.publish(version, registry, options) == 200)
                m_acknowledged.emplace_back(clock_type::now(), version);
            return;
        }
        std::uint64_t minVersion = 0;
        const auto before = clock_type::now() - propagationTimeout;
        for (const auto& [when, version] : m_acknowledged) {
            if (when <= before)
                minVersion = std::max(minVersion, version);
        }
        const auto read = m_cluster.readVersion(registry);
        if (read && *read < minVersion)
            m_violations.report(registry + " returned version " + std::to_string(*read) + " after "
                + std::to_string(minVersion) + " was acknowledged");
    }

    void checkRecovery()
    {
        std::uint64_t newest = 0;
        for (const auto& [when, version] : m_acknowledged)
            newest = std::max(newest, version);
        const auto reads = [&](const std::string& name) { return m_cluster.readVersion(name).value_or(0) >= newest; };
        for (const auto& name : m_cluster.registries()) {
            if (!waitUntil([&] { return reads(name); }, recoveryTimeout))
                m_violations.report(
                    name + " doesn't return version " + std::to_string(newest) + " after all faults have ended");
        }
        std::size_t number = 0;
        const auto serves = [&](const std::string& gateway) {
            const std::string id = "end-" + gateway + std::to_string(++number);
            return m_cluster.call(gateway, "POST", "/stream/" + id + "/n5", id).isComplete
                && m_cluster.call(gateway, "POST", "/safe/" + id, id + "s").status == 200;
        };
        for (const auto& name : m_cluster.gateways()) {
            if (!waitUntil([&] { return serves(name); }, recoveryTimeout))
                m_violations.report(name + " doesn't serve requests after all faults have ended");
        }
    }

    /// Lets the first document with ranked routes take effect, and starts their callers.
    void beginRanking()
    {
        if (!applyRankedRoutes(m_cluster, ++m_version))
            m_violations.report("the document with ranked routes didn't take effect");
        m_rankedCallers.emplace(m_cluster, m_options.seed);
    }

    void checkCalls(const std::vector<call_record>& records)
    {
        const auto lacksADocument = [this](const call_record& record) { return lacksDocument(record); };
        test_support::checkCalls(records, m_cluster.fleet().runs(), lacksADocument, m_violations);
        std::cout << "versions acknowledged " << m_acknowledged.size() << std::endl;
    }

    soak_options m_options;
    std::mt19937_64 m_random;
    std::mt19937_64 m_pushbackRandom;
    std::mt19937_64 m_responseRandom; ///< of its own, so that the other faults of a seed stay as they are
    gateway_cluster m_cluster;
    violation_log m_violations;
    registry_replacement m_replacement;
    std::optional<crashing_part_check> m_crashingPart; ///< empty: no part crashes targets
    std::optional<ranked_callers> m_rankedCallers; ///< empty: no route is ranked
    std::vector<active_fault> m_activeFaults;
    std::set<std::string> m_reserved; ///< processes, targets, links and pushbacks with an active fault
    clock_type::time_point m_nextDiskLoss {};
    clock_type::time_point m_nextReplacement {};
    clock_type::time_point m_calmSince {}; ///< since then no registry has had a fault
    std::uint64_t m_version = 1;
    /// Periods without a quorum of registries, each extended by the recovery time.
    std::vector<std::pair<clock_type::time_point, clock_type::time_point>> m_quorumOutages;
    std::deque<std::pair<clock_type::time_point, std::uint64_t>> m_acknowledged;
};

} // namespace

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine line("Injects random faults into real processes and checks the invariants.", ' ', "1");
        TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the faults and the calls", true, 1, "number", line);
        TCLAP::ValueArg<unsigned> duration("", "seconds", "Duration of the faults", false, 15, "number", line);
        TCLAP::ValueArg<unsigned> gateways("", "gateways", "Number of gateways", false, 3, "number", line);
        TCLAP::ValueArg<unsigned> engines(
            "", "engines", "Targets with layers in each failure domain", false, 4, "number", line);
        TCLAP::SwitchArg pushback("", "pushback", "Targets also name rate limits and request backoffs", line);
        TCLAP::SwitchArg ranked("", "ranked", "More callers than fit, on routes of different priorities", line);
        TCLAP::SwitchArg replace("", "replace", "Registries are replaced for good", line);
        TCLAP::SwitchArg parts("", "parts", "A part of prompts crashes targets", line);
        line.parse(argc, argv);
        std::cout << "soak: seed " << seed.getValue() << std::endl;
        const soak_options options { seed.getValue(), seconds(duration.getValue()), gateways.getValue(),
            engines.getValue(), pushback.getValue(), parts.getValue(), ranked.getValue(), replace.getValue() };
        const bool isPassed = soak_run(options).run();
        std::cout << "soak: seed " << seed.getValue() << (isPassed ? " held" : " BROKEN") << std::endl;
        return isPassed ? 0 : 1;
    } catch (const std::exception& error) {
        std::cerr << "soak: " << error.what() << "\n";
        return 2;
    }
}
