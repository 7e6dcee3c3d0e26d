/// @file
/// @brief A randomized soak over real processes: faults from outside in series that overlap, promises checked
/// meanwhile.
///
/// soak --seed N [--seconds S] [--gateways G] [--engines E] [--pushback]. Ends 0 when every promise held; else it
/// prints what broke and leaves the logs.
#include "soak/check_call.hpp"
#include "support/limit_promise.hpp"

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

constexpr seconds recoveryTimeout { 15 }; ///< after the last fault everything works again
constexpr milliseconds propagationTimeout { 2500 }; ///< after its acknowledgement no read shows an older document
constexpr seconds shutdownTimeout { 9 }; ///< from SIGTERM to the end of a process
/// After enough registries are back: an election, and the next heartbeat of a gateway that knows no document.
constexpr seconds quorumRecoveryTime { 3 };
constexpr std::uint64_t throttledLinkRate = 150'000; ///< bytes a second: a large document takes a second or two

/// A fault that is under way, and how it ends.
struct active_fault {
    clock_type::time_point end;
    std::string description;
    std::function<void()> undo;
};

class soak_run {
public:
    soak_run(
        std::uint64_t seed, seconds duration, std::size_t gateways, std::size_t enginesPerDomain, bool withPushback)
        : m_random(seed)
        , m_pushbackRandom(seed + 1)
        , m_withPushback(withPushback)
        , m_seed(seed)
        , m_duration(duration)
        , m_world(gateways, enginesPerDomain)
    {
    }

    bool run()
    {
        if (!m_world.start()) {
            m_violations.report("the system did not start");
            return false;
        }
        if (m_seed % 2 == 0)
            m_world.fleet().keepIds();
        caller_pool callers(m_world, m_seed);
        const auto end = clock_type::now() + m_duration;
        while (clock_type::now() < end) {
            injectFault();
            if (m_withPushback)
                pushBack();
            endDueFaults(clock_type::now());
            recordQuorumOutage();
            publishOrRead();
            std::this_thread::sleep_for(milliseconds(50 + m_random() % 400));
        }
        endDueFaults(clock_type::time_point::max());
        checkRecovery();
        checkCalls(callers.stop());
        if (m_violations.count() > 0)
            std::cout << "logs: " << m_world.keepFolder() << std::endl;
        return m_violations.count() == 0;
    }

private:
    using fault_action = void (soak_run::*)();

    /// @brief Remembers times in which too few registries are left for a quorum.
    void recordQuorumOutage()
    {
        const auto& all = m_world.registries();
        const auto left = std::count_if(
            all.begin(), all.end(), [this](const std::string& name) { return !m_reserved.contains(name); });
        const auto now = clock_type::now();
        if (left * 2 <= static_cast<std::ptrdiff_t>(all.size())) {
            if (m_quorumOutages.empty() || now > m_quorumOutages.back().second)
                m_quorumOutages.emplace_back(now, now);
            m_quorumOutages.back().second = now + quorumRecoveryTime;
        }
    }

    /// @brief Whether a call met a gateway that could know no document: it started while there was no quorum to ask.
    [[nodiscard]] bool lacksDocument(const call_record& record) const
    {
        if (record.response.status != 503 || record.response.body.find("\"no_configuration\"") == std::string::npos)
            return false;
        return std::any_of(m_quorumOutages.begin(), m_quorumOutages.end(),
            [&record](const auto& time) { return record.receivedAt >= time.first && record.receivedAt < time.second; });
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
        const auto& registries = m_world.registries();
        const auto& gateways = m_world.gateways();
        const std::size_t at = m_random() % (registries.size() + gateways.size());
        return at < registries.size() ? registries[at] : gateways[at - registries.size()];
    }
    std::size_t randomTarget()
    {
        const auto& engines = m_world.engines();
        const auto& plain = m_world.plainTargets();
        const std::size_t at = m_random() % (engines.size() + plain.size());
        return at < engines.size() ? engines[at] : plain[at - engines.size()];
    }
    milliseconds randomDuration() { return milliseconds(200 + m_random() % 2500); }
    bool reserve(const std::string& name) { return m_reserved.insert(name).second; }

    void killProcess()
    {
        const std::string name = randomProcess();
        if (!reserve(name))
            return;
        m_world.killHard(name);
        beginFault("killed " + name, randomDuration(), [this, name] {
            m_world.startProcess(name);
            m_reserved.erase(name);
        });
    }

    void pauseProcess()
    {
        const std::string name = randomProcess();
        if (!reserve(name))
            return;
        m_world.signal(name, SIGSTOP);
        beginFault("paused " + name, randomDuration(), [this, name] {
            m_world.signal(name, SIGCONT);
            m_reserved.erase(name);
        });
    }

    void stopGracefully()
    {
        const std::string name = randomProcess();
        if (!reserve(name))
            return;
        m_world.signal(name, SIGTERM);
        const auto deadline = clock_type::now() + shutdownTimeout;
        beginFault("stopping " + name, shutdownTimeout, [this, name, deadline] {
            // The soak may end, and with it this fault, before the process has had its time.
            const auto left = std::max<clock_type::duration>(deadline - clock_type::now(), milliseconds(0));
            const int status
                = m_world.waitForExit(name, std::chrono::duration_cast<milliseconds>(left) + milliseconds(500));
            if (status != 0)
                m_violations.report(name + " did not end in good order after SIGTERM: " + std::to_string(status));
            if (status == -1)
                m_world.killHard(name);
            m_world.startProcess(name);
            m_reserved.erase(name);
        });
    }

    void killTarget()
    {
        const std::size_t target = randomTarget();
        if (!reserve("target" + std::to_string(target)))
            return;
        m_world.fleet().kill(target);
        beginFault("killed target " + std::to_string(target), randomDuration(), [this, target] {
            m_world.fleet().restart(target);
            m_reserved.erase("target" + std::to_string(target));
        });
    }

    /// Lives that follow each other at once; some seeds' targets keep their ids.
    void restartTarget()
    {
        const std::size_t target = randomTarget();
        if (m_reserved.contains("target" + std::to_string(target)))
            return;
        const bool changesAddress = m_random() % 4 == 0;
        for (auto restarts = 1 + m_random() % 3; restarts > 0; --restarts) {
            if (changesAddress)
                m_world.fleet().restartElsewhere(target);
            else
                m_world.fleet().restart(target);
        }
        std::cout << "! restarted target " << target << (changesAddress ? " elsewhere" : "") << std::endl;
    }

    /// What another writer may send under a target's id, or a new one.
    void sendMalformedRecords()
    {
        const std::string registry = m_world.registries()[m_random() % m_world.registries().size()];
        const std::size_t target = randomTarget();
        const std::string valid = m_world.fleet().announcementOf(target);
        const std::string id = m_random() % 2 == 0 ? m_world.fleet().idOf(target) : "i-broken";
        for (int at = 0; at < 20; ++at) {
            std::string body = valid.substr(0, m_random() % valid.size());
            if (at % 2 == 0)
                body = "{\"service\":7,\"state\":[],\"address\":null}";
            const int status = m_world.sendRecord(registry, "PUT", id, body);
            if (status == 200)
                m_violations.report(registry + " took the record " + body);
        }
        if (!m_world.targetState(registry, "i-broken").empty())
            m_violations.report(registry + " has a target out of a broken record");
        std::cout << "! wrote broken records to " << registry << std::endl;
    }

    void pauseTarget()
    {
        const std::size_t target = randomTarget();
        if (!reserve("target" + std::to_string(target)))
            return;
        m_world.fleet().setFrozen(target, true);
        beginFault("froze target " + std::to_string(target), randomDuration(), [this, target] {
            m_world.fleet().setFrozen(target, false);
            m_reserved.erase("target" + std::to_string(target));
        });
    }

    void makeTargetFaulty()
    {
        const std::size_t target = randomTarget();
        if (!reserve("target" + std::to_string(target)))
            return;
        m_world.fleet().setFaults(target, { 0.1, 0.1, 0.1, 0.1, 3 });
        beginFault("spoilt target " + std::to_string(target), randomDuration(), [this, target] {
            m_world.fleet().setFaults(target, {});
            m_reserved.erase("target" + std::to_string(target));
        });
    }

    /// Targets ask to be treated otherwise. Draws of its own: the other faults of a seed stay as they are without it.
    void pushBack()
    {
        if (m_pushbackRandom() % 4 != 0)
            return;
        const auto& engines = m_world.engines();
        const auto& plain = m_world.plainTargets();
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
        m_world.fleet().setRest(target, milliseconds(500 + m_pushbackRandom() % 1500));
        beginFault("target " + std::to_string(target) + " asks for rest", milliseconds(2000), [this, target] {
            m_world.fleet().setRest(target, std::nullopt);
            m_reserved.erase("pushback" + std::to_string(target));
        });
    }

    void limitRate(std::size_t target)
    {
        const double perSecond = static_cast<double>(1 + m_pushbackRandom() % 50) / 10;
        m_world.fleet().setLimit(target, perSecond);
        beginFault("target " + std::to_string(target) + " takes " + std::to_string(perSecond) + " a second",
            limitSettling + milliseconds(2000 + m_pushbackRandom() % 6000),
            [this, target, perSecond, from = clock_type::now() + limitSettling] {
                checkLimit(target, perSecond, from);
                m_world.fleet().setLimit(target, std::nullopt);
                m_reserved.erase("pushback" + std::to_string(target));
            });
    }

    void checkLimit(std::size_t target, double perSecond, clock_type::time_point from)
    {
        const auto most = mostInWindow(m_world.fleet().arrivalsAt(target), from);
        if (static_cast<double>(most) > allowedUnder(perSecond))
            m_violations.report("target " + std::to_string(target) + " takes " + std::to_string(perSecond)
                + " a second and got " + std::to_string(most) + " in 4 s");
    }

    void impairLinks()
    {
        static constexpr std::array modes { relay_mode::Silent, relay_mode::OutwardOnly, relay_mode::InwardOnly,
            relay_mode::Slow };
        const std::string name = m_world.registries()[m_random() % m_world.registries().size()];
        if (!reserve("link" + name))
            return;
        const std::size_t mode = m_random() % modes.size();
        m_world.linkRelay(name).setMode(modes[mode]);
        beginFault("harmed the links of " + name + ", way " + std::to_string(mode), randomDuration(), [this, name] {
            m_world.linkRelay(name).setMode(relay_mode::Pass);
            m_reserved.erase("link" + name);
        });
    }

    void throttleLinks()
    {
        const std::string name = m_world.registries()[m_random() % m_world.registries().size()];
        if (!reserve("link" + name))
            return;
        m_world.linkRelay(name).setRate(throttledLinkRate);
        beginFault("slowed the links of " + name, randomDuration(), [this, name] {
            m_world.linkRelay(name).setRate(0);
            m_reserved.erase("link" + name);
        });
    }

    void resetLinks()
    {
        const std::string name = m_world.registries()[m_random() % m_world.registries().size()];
        m_world.linkRelay(name).resetAll();
        std::cout << "! reset the links of " << name << std::endl;
    }

    /// One disk at a time, and not again before the members have had time to make the copy good: what survives is
    /// promised for the loss of one.
    void loseDisk()
    {
        const std::string name = m_world.registries()[m_random() % m_world.registries().size()];
        const bool noRegistryFault = std::none_of(m_activeFaults.begin(), m_activeFaults.end(),
            [](const active_fault& fault) { return fault.description.find("registry") != std::string::npos; });
        if (!noRegistryFault || clock_type::now() < m_nextDiskLoss || !allRegistriesReadable() || !reserve(name))
            return;
        m_nextDiskLoss = clock_type::now() + seconds(8);
        m_world.killHard(name);
        m_world.loseDisk(name);
        beginFault("lost the disk of " + name, milliseconds(500), [this, name] {
            m_world.startProcess(name);
            m_reserved.erase(name);
        });
    }

    void reloadSettings()
    {
        const std::string name = randomProcess();
        if (m_world.isRunning(name) && !m_reserved.contains(name))
            m_world.signal(name, SIGHUP);
    }

    bool allRegistriesReadable()
    {
        return std::all_of(m_world.registries().begin(), m_world.registries().end(),
            [this](const std::string& name) { return m_world.readVersion(name).has_value(); });
    }

    /// Publishes now and then, and reads: no read may show less than what was acknowledged a while ago.
    void publishOrRead()
    {
        const std::string registry = m_world.registries()[m_random() % m_world.registries().size()];
        if (m_random() % 3 == 0) {
            const std::uint64_t version = ++m_version;
            document_options options;
            options.extraRoute = "v" + std::to_string(version);
            if (m_random() % 4 == 0) {
                options.fillers = 500;
                options.fillerLength = 300; // 100 KB that no compression makes shorter
            }
            if (m_world.publish(version, registry, options) == 200)
                m_acknowledged.emplace_back(clock_type::now(), version);
            return;
        }
        std::uint64_t least = 0;
        const auto before = clock_type::now() - propagationTimeout;
        for (const auto& [when, version] : m_acknowledged) {
            if (when <= before)
                least = std::max(least, version);
        }
        const auto read = m_world.readVersion(registry);
        if (read && *read < least)
            m_violations.report(registry + " reads version " + std::to_string(*read) + " after " + std::to_string(least)
                + " was acknowledged");
    }

    void checkRecovery()
    {
        std::uint64_t newest = 0;
        for (const auto& [when, version] : m_acknowledged)
            newest = std::max(newest, version);
        const auto reads = [&](const std::string& name) { return m_world.readVersion(name).value_or(0) >= newest; };
        for (const auto& name : m_world.registries()) {
            if (!waitUntil([&] { return reads(name); }, recoveryTimeout))
                m_violations.report(name + " does not read version " + std::to_string(newest) + " after all is well");
        }
        std::size_t number = 0;
        const auto serves = [&](const std::string& gateway) {
            const std::string id = "end-" + gateway + std::to_string(++number);
            return m_world.call(gateway, "POST", "/stream/" + id + "/n5", id).isWhole
                && m_world.call(gateway, "POST", "/safe/" + id, id + "s").status == 200;
        };
        for (const auto& name : m_world.gateways()) {
            if (!waitUntil([&] { return serves(name); }, recoveryTimeout))
                m_violations.report(name + " does not serve after all is well");
        }
    }

    void checkCalls(const std::vector<call_record>& records)
    {
        std::map<std::string, std::size_t> runs;
        for (const auto& run : m_world.fleet().runs()) {
            ++runs[run.requestId];
            if (run.workspace != "w1")
                m_violations.report(run.requestId + " ran for workspace '" + run.workspace + "'");
        }
        std::map<int, std::size_t> statuses;
        std::size_t withoutDocument = 0;
        for (const auto& record : records) {
            ++statuses[record.response.status];
            checkCall(record, runs[record.requestId], m_violations);
            if (!lacksDocument(record))
                continue;
            ++withoutDocument;
            if (runs[record.requestId] > 0)
                m_violations.report(record.requestId + " was told that there is no document, and ran");
        }
        std::cout << "calls " << records.size();
        for (const auto& [status, count] : statuses)
            std::cout << ", " << status << ": " << count;
        std::cout << ", versions acknowledged " << m_acknowledged.size() << std::endl;
        std::cout << "without a document while there was no quorum: " << withoutDocument << std::endl;
        if (statuses[200] * 4 < records.size() - withoutDocument)
            m_violations.report("less than a quarter of the calls were served");
    }

    std::mt19937_64 m_random;
    std::mt19937_64 m_pushbackRandom;
    bool m_withPushback;
    std::uint64_t m_seed;
    seconds m_duration;
    gateway_world m_world;
    violation_log m_violations;
    std::vector<active_fault> m_activeFaults;
    std::set<std::string> m_reserved; ///< processes and targets that a fault is on
    clock_type::time_point m_nextDiskLoss {};
    std::uint64_t m_version = 1;
    /// Times without a quorum of registries, each until one may have been found again.
    std::vector<std::pair<clock_type::time_point, clock_type::time_point>> m_quorumOutages;
    std::deque<std::pair<clock_type::time_point, std::uint64_t>> m_acknowledged;
};

} // namespace

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine line("Disturbs real processes at random and checks the promises.", ' ', "1");
        TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Of the faults and the calls", true, 1, "number", line);
        TCLAP::ValueArg<unsigned> duration("", "seconds", "Time with faults", false, 15, "number", line);
        TCLAP::ValueArg<unsigned> gateways("", "gateways", "How many", false, 3, "number", line);
        TCLAP::ValueArg<unsigned> engines("", "engines", "Layered targets in each domain", false, 4, "number", line);
        TCLAP::SwitchArg pushback("", "pushback", "Targets also name limits and ask for rest", line);
        line.parse(argc, argv);
        std::cout << "soak: seed " << seed.getValue() << std::endl;
        const bool held = soak_run(
            seed.getValue(), seconds(duration.getValue()), gateways.getValue(), engines.getValue(), pushback.getValue())
                              .run();
        std::cout << "soak: seed " << seed.getValue() << (held ? " held" : " BROKEN") << std::endl;
        return held ? 0 : 1;
    } catch (const std::exception& fault) {
        std::cerr << "soak: " << fault.what() << "\n";
        return 2;
    }
}
