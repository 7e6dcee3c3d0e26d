/// @file
/// @brief A randomized soak over real processes: faults from outside in series that overlap, promises checked
/// meanwhile.
///
/// soak --seed N [--seconds S] [--gateways G] [--engines E] [--pushback]. Ends 0 when every promise held; else it
/// prints what broke and leaves the logs.
#include "soak/judge_call.hpp"
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

constexpr seconds recoverTime { 15 }; ///< after the last fault everything works again
constexpr milliseconds inForceTime { 2500 }; ///< after its acknowledgement no read shows an older document
constexpr seconds mostGrace { 9 }; ///< from SIGTERM to the end of a process
/// After enough registries are back: an election, and the next heartbeat of a gateway that knows no document.
constexpr seconds quorumReturnTime { 3 };
constexpr std::uint64_t slowLinkRate = 150'000; ///< bytes a second: a large document takes a second or two

/// A fault that is under way, and how it ends.
struct open_fault {
    clock_type::time_point end;
    std::string what;
    std::function<void()> undo;
};

class soak_run {
public:
    soak_run(std::uint64_t seed, seconds length, std::size_t gateways, std::size_t enginesPerDomain, bool withPushback)
        : m_random(seed)
        , m_pushbackRandom(seed + 1)
        , m_withPushback(withPushback)
        , m_seed(seed)
        , m_length(length)
        , m_world(gateways, enginesPerDomain)
    {
    }

    bool run()
    {
        if (!m_world.start()) {
            m_verdict.broken("the system did not start");
            return false;
        }
        if (m_seed % 2 == 0)
            m_world.fleet().keepIds();
        callers asking(m_world, m_seed);
        const auto end = clock_type::now() + m_length;
        while (clock_type::now() < end) {
            disturb();
            if (m_withPushback)
                pushBack();
            endDue(clock_type::now());
            noteQuorum();
            operate();
            std::this_thread::sleep_for(milliseconds(50 + m_random() % 400));
        }
        endDue(clock_type::time_point::max());
        checkRecovery();
        judge(asking.stop());
        if (m_verdict.count() > 0)
            std::cout << "logs: " << m_world.keepFolder() << std::endl;
        return m_verdict.count() == 0;
    }

private:
    using disturbance = void (soak_run::*)();

    /// @brief Remembers times in which too few registries are left for a quorum.
    void noteQuorum()
    {
        const auto& all = m_world.registries();
        const auto left = std::count_if(
            all.begin(), all.end(), [this](const std::string& name) { return !m_claimed.contains(name); });
        const auto now = clock_type::now();
        if (left * 2 <= static_cast<std::ptrdiff_t>(all.size())) {
            if (m_noQuorum.empty() || now > m_noQuorum.back().second)
                m_noQuorum.emplace_back(now, now);
            m_noQuorum.back().second = now + quorumReturnTime;
        }
    }

    /// @brief Whether a call met a gateway that could know no document: it started while there was no quorum to ask.
    [[nodiscard]] bool lacksDocument(const call_record& record) const
    {
        if (record.answer.status != 503 || record.answer.body.find("\"no_configuration\"") == std::string::npos)
            return false;
        return std::any_of(m_noQuorum.begin(), m_noQuorum.end(),
            [&record](const auto& time) { return record.answeredAt >= time.first && record.answeredAt < time.second; });
    }

    void disturb()
    {
        static constexpr std::array<disturbance, 13> disturbances { &soak_run::killProcess, &soak_run::pauseProcess,
            &soak_run::stopGently, &soak_run::killTarget, &soak_run::restartTarget, &soak_run::freezeTarget,
            &soak_run::spoilTarget, &soak_run::harmLink, &soak_run::slowLink, &soak_run::resetLinks,
            &soak_run::loseDisk, &soak_run::reload, &soak_run::writeBrokenRecords };
        (this->*disturbances[m_random() % disturbances.size()])();
    }

    void begin(const std::string& what, milliseconds lasts, std::function<void()> undo)
    {
        std::cout << "+ " << what << std::endl;
        m_open.push_back({ clock_type::now() + lasts, what, std::move(undo) });
    }

    void endDue(clock_type::time_point now)
    {
        for (auto& fault : m_open) {
            if (fault.end > now)
                continue;
            fault.undo();
            std::cout << "- " << fault.what << std::endl;
        }
        std::erase_if(m_open, [now](const open_fault& fault) { return fault.end <= now; });
    }

    std::string anyProcess()
    {
        const auto& registries = m_world.registries();
        const auto& gateways = m_world.gateways();
        const std::size_t at = m_random() % (registries.size() + gateways.size());
        return at < registries.size() ? registries[at] : gateways[at - registries.size()];
    }
    std::size_t anyTarget()
    {
        const auto& engines = m_world.engines();
        const auto& plain = m_world.plainTargets();
        const std::size_t at = m_random() % (engines.size() + plain.size());
        return at < engines.size() ? engines[at] : plain[at - engines.size()];
    }
    milliseconds anyTime() { return milliseconds(200 + m_random() % 2500); }
    bool claim(const std::string& name) { return m_claimed.insert(name).second; }

    void killProcess()
    {
        const std::string name = anyProcess();
        if (!claim(name))
            return;
        m_world.killHard(name);
        begin("killed " + name, anyTime(), [this, name] {
            m_world.startProcess(name);
            m_claimed.erase(name);
        });
    }

    void pauseProcess()
    {
        const std::string name = anyProcess();
        if (!claim(name))
            return;
        m_world.signal(name, SIGSTOP);
        begin("paused " + name, anyTime(), [this, name] {
            m_world.signal(name, SIGCONT);
            m_claimed.erase(name);
        });
    }

    void stopGently()
    {
        const std::string name = anyProcess();
        if (!claim(name))
            return;
        m_world.signal(name, SIGTERM);
        const auto deadline = clock_type::now() + mostGrace;
        begin("stopping " + name, mostGrace, [this, name, deadline] {
            // The soak may end, and with it this fault, before the process has had its time.
            const auto left = std::max<clock_type::duration>(deadline - clock_type::now(), milliseconds(0));
            const int status
                = m_world.waitForExit(name, std::chrono::duration_cast<milliseconds>(left) + milliseconds(500));
            if (status != 0)
                m_verdict.broken(name + " did not end in good order after SIGTERM: " + std::to_string(status));
            if (status == -1)
                m_world.killHard(name);
            m_world.startProcess(name);
            m_claimed.erase(name);
        });
    }

    void killTarget()
    {
        const std::size_t target = anyTarget();
        if (!claim("target" + std::to_string(target)))
            return;
        m_world.fleet().kill(target);
        begin("killed target " + std::to_string(target), anyTime(), [this, target] {
            m_world.fleet().restart(target);
            m_claimed.erase("target" + std::to_string(target));
        });
    }

    /// Lives that follow each other at once; some seeds' targets keep their ids.
    void restartTarget()
    {
        const std::size_t target = anyTarget();
        if (m_claimed.contains("target" + std::to_string(target)))
            return;
        const bool moves = m_random() % 4 == 0;
        for (auto lives = 1 + m_random() % 3; lives > 0; --lives) {
            if (moves)
                m_world.fleet().restartElsewhere(target);
            else
                m_world.fleet().restart(target);
        }
        std::cout << "! restarted target " << target << (moves ? " elsewhere" : "") << std::endl;
    }

    /// What another writer may send under a target's id, or a new one.
    void writeBrokenRecords()
    {
        const std::string registry = m_world.registries()[m_random() % m_world.registries().size()];
        const std::size_t target = anyTarget();
        const std::string good = m_world.fleet().announcementOf(target);
        const std::string id = m_random() % 2 == 0 ? m_world.fleet().idOf(target) : "i-broken";
        for (int at = 0; at < 20; ++at) {
            std::string body = good.substr(0, m_random() % good.size());
            if (at % 2 == 0)
                body = "{\"service\":7,\"state\":[],\"address\":null}";
            const int status = m_world.sendRecord(registry, "PUT", id, body);
            if (status == 200)
                m_verdict.broken(registry + " took the record " + body);
        }
        if (!m_world.targetState(registry, "i-broken").empty())
            m_verdict.broken(registry + " has a target out of a broken record");
        std::cout << "! wrote broken records to " << registry << std::endl;
    }

    void freezeTarget()
    {
        const std::size_t target = anyTarget();
        if (!claim("target" + std::to_string(target)))
            return;
        m_world.fleet().setFrozen(target, true);
        begin("froze target " + std::to_string(target), anyTime(), [this, target] {
            m_world.fleet().setFrozen(target, false);
            m_claimed.erase("target" + std::to_string(target));
        });
    }

    void spoilTarget()
    {
        const std::size_t target = anyTarget();
        if (!claim("target" + std::to_string(target)))
            return;
        m_world.fleet().setFaults(target, { 0.1, 0.1, 0.1, 0.1, 3 });
        begin("spoilt target " + std::to_string(target), anyTime(), [this, target] {
            m_world.fleet().setFaults(target, {});
            m_claimed.erase("target" + std::to_string(target));
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
        if (!claim("pushback" + std::to_string(target)))
            return;
        if (m_pushbackRandom() % 3 == 0)
            rest(target);
        else
            limit(target);
    }

    void rest(std::size_t target)
    {
        m_world.fleet().setRest(target, milliseconds(500 + m_pushbackRandom() % 1500));
        begin("target " + std::to_string(target) + " asks for rest", milliseconds(2000), [this, target] {
            m_world.fleet().setRest(target, std::nullopt);
            m_claimed.erase("pushback" + std::to_string(target));
        });
    }

    void limit(std::size_t target)
    {
        const double perSecond = static_cast<double>(1 + m_pushbackRandom() % 50) / 10;
        m_world.fleet().setLimit(target, perSecond);
        begin("target " + std::to_string(target) + " takes " + std::to_string(perSecond) + " a second",
            limitGracePeriod + milliseconds(2000 + m_pushbackRandom() % 6000),
            [this, target, perSecond, from = clock_type::now() + limitGracePeriod] {
                checkLimit(target, perSecond, from);
                m_world.fleet().setLimit(target, std::nullopt);
                m_claimed.erase("pushback" + std::to_string(target));
            });
    }

    void checkLimit(std::size_t target, double perSecond, clock_type::time_point from)
    {
        const auto most = peakRequestsPerWindow(m_world.fleet().arrivalsAt(target), from);
        if (static_cast<double>(most) > maxRequestsPerWindow(perSecond))
            m_verdict.broken("target " + std::to_string(target) + " takes " + std::to_string(perSecond)
                + " a second and got " + std::to_string(most) + " in 4 s");
    }

    void harmLink()
    {
        static constexpr std::array modes { relay_mode::Silent, relay_mode::UpstreamOnly, relay_mode::DownstreamOnly,
            relay_mode::Slow };
        const std::string name = m_world.registries()[m_random() % m_world.registries().size()];
        if (!claim("link" + name))
            return;
        const std::size_t mode = m_random() % modes.size();
        m_world.linkRelay(name).setMode(modes[mode]);
        begin("harmed the links of " + name + ", way " + std::to_string(mode), anyTime(), [this, name] {
            m_world.linkRelay(name).setMode(relay_mode::Pass);
            m_claimed.erase("link" + name);
        });
    }

    void slowLink()
    {
        const std::string name = m_world.registries()[m_random() % m_world.registries().size()];
        if (!claim("link" + name))
            return;
        m_world.linkRelay(name).setRate(slowLinkRate);
        begin("slowed the links of " + name, anyTime(), [this, name] {
            m_world.linkRelay(name).setRate(0);
            m_claimed.erase("link" + name);
        });
    }

    void resetLinks()
    {
        const std::string name = m_world.registries()[m_random() % m_world.registries().size()];
        m_world.linkRelay(name).resetConnections();
        std::cout << "! reset the links of " << name << std::endl;
    }

    /// One disk at a time, and not again before the members have had time to make the copy good: what survives is
    /// promised for the loss of one.
    void loseDisk()
    {
        const std::string name = m_world.registries()[m_random() % m_world.registries().size()];
        const bool othersWell = std::none_of(m_open.begin(), m_open.end(),
            [](const open_fault& fault) { return fault.what.find("registry") != std::string::npos; });
        if (!othersWell || clock_type::now() < m_nextDiskLoss || !allRead() || !claim(name))
            return;
        m_nextDiskLoss = clock_type::now() + seconds(8);
        m_world.killHard(name);
        m_world.loseDisk(name);
        begin("lost the disk of " + name, milliseconds(500), [this, name] {
            m_world.startProcess(name);
            m_claimed.erase(name);
        });
    }

    void reload()
    {
        const std::string name = anyProcess();
        if (m_world.isRunning(name) && !m_claimed.contains(name))
            m_world.signal(name, SIGHUP);
    }

    bool allRead()
    {
        return std::all_of(m_world.registries().begin(), m_world.registries().end(),
            [this](const std::string& name) { return m_world.readVersion(name).has_value(); });
    }

    /// Publishes now and then, and reads: no read may show less than what was acknowledged a while ago.
    void operate()
    {
        const std::string registry = m_world.registries()[m_random() % m_world.registries().size()];
        if (m_random() % 3 == 0) {
            const std::uint64_t version = ++m_version;
            document_options options;
            options.extraRoute = "v" + std::to_string(version);
            if (m_random() % 4 == 0) {
                options.fillerRoutes = 500;
                options.fillerPathLength = 300; // 100 KB that no compression makes shorter
            }
            if (m_world.publish(version, registry, options) == 200)
                m_acknowledged.emplace_back(clock_type::now(), version);
            return;
        }
        std::uint64_t least = 0;
        const auto before = clock_type::now() - inForceTime;
        for (const auto& [when, version] : m_acknowledged) {
            if (when <= before)
                least = std::max(least, version);
        }
        const auto read = m_world.readVersion(registry);
        if (read && *read < least)
            m_verdict.broken(registry + " reads version " + std::to_string(*read) + " after " + std::to_string(least)
                + " was acknowledged");
    }

    void checkRecovery()
    {
        std::uint64_t newest = 0;
        for (const auto& [when, version] : m_acknowledged)
            newest = std::max(newest, version);
        const auto reads = [&](const std::string& name) { return m_world.readVersion(name).value_or(0) >= newest; };
        for (const auto& name : m_world.registries()) {
            if (!waitUntil([&] { return reads(name); }, recoverTime))
                m_verdict.broken(name + " does not read version " + std::to_string(newest) + " after all is well");
        }
        std::size_t number = 0;
        const auto serves = [&](const std::string& gateway) {
            const std::string id = "end-" + gateway + std::to_string(++number);
            return m_world.call(gateway, "POST", "/stream/" + id + "/n5", id).isComplete
                && m_world.call(gateway, "POST", "/safe/" + id, id + "s").status == 200;
        };
        for (const auto& name : m_world.gateways()) {
            if (!waitUntil([&] { return serves(name); }, recoverTime))
                m_verdict.broken(name + " does not serve after all is well");
        }
    }

    void judge(const std::vector<call_record>& records)
    {
        std::map<std::string, std::size_t> runs;
        for (const auto& run : m_world.fleet().runs()) {
            ++runs[run.requestId];
            if (run.workspace != "w1")
                m_verdict.broken(run.requestId + " ran for workspace '" + run.workspace + "'");
        }
        std::map<int, std::size_t> statuses;
        std::size_t withoutDocument = 0;
        for (const auto& record : records) {
            ++statuses[record.answer.status];
            judgeCall(record, runs[record.requestId], m_verdict);
            if (!lacksDocument(record))
                continue;
            ++withoutDocument;
            if (runs[record.requestId] > 0)
                m_verdict.broken(record.requestId + " was told that there is no document, and ran");
        }
        std::cout << "calls " << records.size();
        for (const auto& [status, count] : statuses)
            std::cout << ", " << status << ": " << count;
        std::cout << ", versions acknowledged " << m_acknowledged.size() << std::endl;
        std::cout << "without a document while there was no quorum: " << withoutDocument << std::endl;
        if (statuses[200] * 4 < records.size() - withoutDocument)
            m_verdict.broken("less than a quarter of the calls were served");
    }

    std::mt19937_64 m_random;
    std::mt19937_64 m_pushbackRandom;
    bool m_withPushback;
    std::uint64_t m_seed;
    seconds m_length;
    gateway_world m_world;
    verdict m_verdict;
    std::vector<open_fault> m_open;
    std::set<std::string> m_claimed; ///< processes and targets that a fault is on
    clock_type::time_point m_nextDiskLoss {};
    std::uint64_t m_version = 1;
    /// Times without a quorum of registries, each until one may have been found again.
    std::vector<std::pair<clock_type::time_point, clock_type::time_point>> m_noQuorum;
    std::deque<std::pair<clock_type::time_point, std::uint64_t>> m_acknowledged;
};

} // namespace

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine line("Disturbs real processes at random and checks the promises.", ' ', "1");
        TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Of the faults and the calls", true, 1, "number", line);
        TCLAP::ValueArg<unsigned> length("", "seconds", "Time with faults", false, 15, "number", line);
        TCLAP::ValueArg<unsigned> gateways("", "gateways", "How many", false, 3, "number", line);
        TCLAP::ValueArg<unsigned> engines("", "engines", "Layered targets in each domain", false, 4, "number", line);
        TCLAP::SwitchArg pushback("", "pushback", "Targets also name limits and ask for rest", line);
        line.parse(argc, argv);
        std::cout << "soak: seed " << seed.getValue() << std::endl;
        const bool held = soak_run(
            seed.getValue(), seconds(length.getValue()), gateways.getValue(), engines.getValue(), pushback.getValue())
                              .run();
        std::cout << "soak: seed " << seed.getValue() << (held ? " held" : " BROKEN") << std::endl;
        return held ? 0 : 1;
    } catch (const std::exception& fault) {
        std::cerr << "soak: " << fault.what() << "\n";
        return 2;
    }
}
