/// @file
/// @brief Simulates which requests and parts of prompts are blamed when targets crash, over many seeds.
///
/// Gateways (the product's crash_watch and quarantine_gate) and a controller's quarantine_table exchange messages with
/// fixed delays in virtual time. Requests begin at targets as on a fleet with layers, where a few targets are the first
/// of all paths. Prints a line per scenario and policy: means and the highest values over the seeds.
#include "buckthornrail/gateway/quarantine_gate.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <tclap/CmdLine.h>

namespace {

using namespace buckthornrail; // NOLINT(google-build-using-namespace)
using gateway::call_number;
using gateway::dispatch_verdict;
using registry::quarantine_stage;

constexpr milliseconds detectionTime { 2 }; ///< from a crash until gateways know that the address refuses connections
constexpr milliseconds messageTime { 2 }; ///< of a link
constexpr milliseconds commitTime { 6 };
constexpr milliseconds restartTime { 3000 };
constexpr milliseconds pollInterval { 20 };
constexpr milliseconds maxDispatchWait { 400 };
constexpr milliseconds leaderPeriod { 100 };
constexpr milliseconds knownAfter { 3000 }; ///< from the fifth crash until requests with the part may not run any more
constexpr std::size_t crashesUntilKnown = 5;
constexpr std::size_t maxAttempts = 6;

/// What happens in a simulated day.
struct scenario {
    const char* name;
    double soundPerSecond = 70;
    double culpritsPerSecond = 3; ///< of each culprit
    std::size_t culprits = 1;
    std::size_t systemPrompts = 1; ///< one of them begins each prompt
    std::size_t documents = 60; ///< one of them follows; the first are used most
    bool hasFixedDocument = false; ///< requests with a culprit all have the same rare document
    double killPeriod = 0; ///< seconds between kills of a third of the targets; 0: none
    std::size_t memberTargets = 0; ///< targets that follow the first one of a path; culprits crash one of these
    double culpritsFrom = 3; ///< seconds from the start
};

constexpr std::array scenarios {
    scenario { "one culprit" },
    scenario { "seldom", 70, 0.3 },
    scenario { "often", 70, 15 },
    scenario { "two at once", 70, 3, 2 },
    scenario { "beside a rare document", 70, 3, 1, 1, 60, true },
    scenario { "targets killed meanwhile", 70, 3, 1, 1, 60, false, 1.5 },
    scenario { "no culprit, targets killed", 70, 0, 1, 1, 60, false, 0.7 },
    scenario { "crashes a later member", 70, 3, 1, 1, 60, false, 0, 8 },
    scenario { "from the start", 70, 3, 1, 1, 60, false, 0, 0, 0 },
};

/// Which evidence is used.
struct policy {
    const char* name;
    bool hasParts = true;
    bool weighsShares = true; ///< otherwise every presence at a crash counts the same
    registry::surprise heldEvidence = registry::quarantine_options().heldEvidence;
    registry::surprise provenEvidence = registry::quarantine_options().provenEvidence;
    registry::surprise untriedEvidence = registry::quarantine_options().untriedEvidence;
};

constexpr std::array policies {
    policy { "whole requests only", false },
    policy { "parts, counted", true, false },
    policy { "weighed, held from 4, proven 8/10", true, true, 400, 800, 1000 },
    policy { "weighed, held from 6, proven 10/12", true, true, 600, 1000, 1200 },
    policy { "weighed, held from 6, proven 12/15", true, true, 600, 1200, 1500 },
    policy { "weighed, held from 6, proven 14/18", true, true, 600, 1400, 1800 },
    policy { "weighed, held from 8, proven 14/18", true, true, 800, 1400, 1800 },
};

/// Figures of one day.
struct outcome {
    double crashes = 0; ///< by culprits
    double laterArrivals = 0; ///< at targets, of requests with a culprit, after it must be known
    double secondsToProof = 0; ///< from a culprit's first crash; the day's length if it wasn't proven
    double soundRejected = 0; ///< per thousand sound requests: a final error
    double soundHeld = 0; ///< per thousand: refused with a time to retry
    double falseParts = 0; ///< sound parts that were held
    double falseSeconds = 0; ///< longest time for which a sound part was held
};

request_fingerprint fingerprintFor(std::uint64_t number)
{
    request_fingerprint fingerprint;
    for (std::size_t index = 0; index < sizeof number; ++index)
        fingerprint.bytes[index] = static_cast<std::uint8_t>(number >> (8 * index));
    return fingerprint;
}

class simulated_day {
public:
    simulated_day(const scenario& day, const policy& used, double seconds, std::uint64_t seed)
        : m_day(day)
        , m_policy(used)
        , m_random(seed)
        , m_end(at(seconds))
        , m_table(optionsOf(used))
    {
        for (std::size_t index = 0; index < gatewayCount; ++index)
            m_gateways.emplace_back(m_random());
        m_targets.resize(firstTargets + day.memberTargets);
        for (std::size_t index = 0; index < m_targets.size(); ++index)
            m_targets[index].address = "t" + std::to_string(index);
    }

    outcome run()
    {
        scheduleArrivals(m_day.soundPerSecond, std::nullopt);
        for (std::size_t culprit = 0; culprit < m_day.culprits; ++culprit)
            scheduleArrivals(m_day.culpritsPerSecond, culprit);
        if (m_day.killPeriod > 0)
            schedule(at(m_day.culpritsFrom), [this] { killTargets(); });
        schedule(at(0), [this] { runLeader(); });
        while (!m_events.empty() && m_events.top().when < m_end) {
            auto next = m_events.top();
            m_events.pop();
            m_now = next.when;
            next.action();
        }
        return result();
    }

private:
    static constexpr std::size_t gatewayCount = 5;
    static constexpr std::size_t firstTargets = 7;
    static constexpr std::uint64_t culpritPart = 1'000;
    static constexpr std::uint64_t documentPart = 2'000;
    static constexpr std::uint64_t systemPart = 3'000;

    struct event {
        steady_time when;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const event& other) const { return std::tie(other.when, other.order) < std::tie(when, order); }
    };
    struct gateway_state {
        explicit gateway_state(std::uint64_t seed)
            : gate(seed)
        {
            crashes.setGatewayCount(gatewayCount);
        }
        gateway::crash_watch crashes;
        gateway::quarantine_gate gate;
        bool isSending = false;
    };
    struct target {
        std::string address;
        std::uint64_t incarnation = 1;
        bool isUp = true;
    };
    struct call {
        call_number number = 0;
        std::size_t gateway = 0;
        std::optional<std::size_t> culprit; ///< the part that crashes targets
        request_fingerprints request;
        std::vector<std::size_t> path;
        std::uint64_t attempt = 0; ///< changes whenever an attempt starts or ends
        std::size_t attempts = 0;
        steady_time waitDeadline {};
        bool isOpen = false;
        bool isOver = false;
    };

    static steady_time at(double seconds)
    {
        return steady_time(std::chrono::duration_cast<steady_time::duration>(std::chrono::duration<double>(seconds)));
    }
    static registry::quarantine_options optionsOf(const policy& used)
    {
        registry::quarantine_options options;
        options.heldEvidence = used.heldEvidence;
        options.provenEvidence = used.provenEvidence;
        options.untriedEvidence = used.untriedEvidence;
        return options;
    }
    double uniform(double low, double high) { return std::uniform_real_distribution<double>(low, high)(m_random); }
    milliseconds randomMs(double low, double high) { return milliseconds(static_cast<int>(uniform(low, high))); }
    void schedule(steady_time when, std::function<void()> action)
    {
        m_events.push({ when, ++m_order, std::move(action) });
    }

    void scheduleArrivals(double perSecond, std::optional<std::size_t> culprit)
    {
        if (perSecond <= 0)
            return;
        std::exponential_distribution<double> interval(perSecond);
        for (double when = culprit ? m_day.culpritsFrom : 0; when < between(at(0), m_end).count() / 1000.0;
             when += interval(m_random))
            schedule(at(when), [this, culprit] { arrive(culprit); });
    }

    void arrive(std::optional<std::size_t> culprit)
    {
        auto& arrived = m_calls.emplace_back(std::make_unique<call>());
        arrived->number = m_calls.size();
        arrived->gateway = m_random() % gatewayCount;
        arrived->culprit = culprit;
        arrived->request.whole = fingerprintFor(1'000'000 + arrived->number);
        if (m_policy.hasParts)
            arrived->request.parts = partsFor(culprit);
        m_soundCalls += culprit ? 0 : 1;
        beginDispatch(*arrived);
    }

    std::vector<request_fingerprint> partsFor(std::optional<std::size_t> culprit)
    {
        const double skewed = std::pow(uniform(0, 1), 2); // low numbers are more likely
        auto document = static_cast<std::uint64_t>(skewed * static_cast<double>(m_day.documents));
        if (culprit && m_day.hasFixedDocument)
            document = m_day.documents - 1;
        std::vector<request_fingerprint> parts { fingerprintFor(systemPart + m_random() % m_day.systemPrompts),
            fingerprintFor(documentPart + document) };
        if (culprit)
            parts.push_back(fingerprintFor(culpritPart + *culprit));
        return parts;
    }

    void beginDispatch(call& waiting)
    {
        if (waiting.isOver || waiting.attempts >= maxAttempts) {
            waiting.isOver = true;
            return;
        }
        waiting.waitDeadline = m_now + maxDispatchWait;
        dispatch(waiting);
    }

    void dispatch(call& waiting)
    {
        if (waiting.isOver || waiting.isOpen)
            return;
        auto& own = m_gateways[waiting.gateway];
        std::set<std::size_t> excluded;
        auto verdict = dispatch_verdict::Wait;
        bool isHeld = false;
        while (!own.crashes.awaitsTargetState(waiting.number, m_now) && selectPath(waiting, excluded)) {
            std::vector<registry::target_incarnation> path;
            for (const auto member : waiting.path)
                path.push_back(idOf(member));
            verdict = own.gate.requestDispatch(waiting.number, waiting.request, path, m_now);
            isHeld = true;
            if (verdict != dispatch_verdict::Elsewhere)
                break;
            excluded.insert(waiting.path.front());
        }
        sendSoon(waiting.gateway);
        if (verdict == dispatch_verdict::Go) {
            open(waiting);
            return;
        }
        const bool isRejected = verdict == dispatch_verdict::Refuse;
        if (isRejected || m_now >= waiting.waitDeadline) {
            waiting.isOver = true;
            if (!waiting.culprit && isHeld) // otherwise there was no target
                ++(isRejected ? m_soundRejected : m_soundHeld);
            own.gate.endTrial(waiting.number);
            own.crashes.forgetCall(waiting.number);
            return;
        }
        schedule(m_now + pollInterval, [this, &waiting] { dispatch(waiting); });
    }

    bool selectPath(call& waiting, const std::set<std::size_t>& excluded)
    {
        std::vector<std::size_t> usable;
        for (std::size_t index = 0; index < firstTargets; ++index) {
            if (m_targets[index].isUp && !excluded.contains(index))
                usable.push_back(index);
        }
        if (usable.empty())
            return false;
        const bool isChosen
            = !waiting.path.empty() && std::find(usable.begin(), usable.end(), waiting.path.front()) != usable.end();
        if (isChosen)
            return true;
        waiting.path = { usable[m_random() % usable.size()] };
        if (m_day.memberTargets > 0)
            waiting.path.push_back(firstTargets + m_random() % m_day.memberTargets);
        return std::all_of(
            waiting.path.begin(), waiting.path.end(), [this](auto index) { return m_targets[index].isUp; });
    }

    void open(call& opened)
    {
        opened.isOpen = true;
        ++opened.attempts;
        const auto attempt = ++opened.attempt;
        auto& own = m_gateways[opened.gateway];
        std::vector<gateway::selected_part> path;
        for (const auto member : opened.path)
            path.push_back({ idOf(member), m_targets[member].address, { 0, 1 }, 0 });
        own.crashes.onAttemptOpened(opened.number, path, m_now, opened.request.parts);
        if (opened.culprit)
            m_culpritArrivals.push_back({ *opened.culprit, m_now });
        const auto begin = m_now + randomMs(20, 150);
        const auto ifCurrent = [this, &opened, attempt](auto action) {
            return [&opened, attempt, action] {
                if (opened.isOpen && opened.attempt == attempt)
                    action();
            };
        };
        if (opened.culprit) {
            const auto victim = opened.path.back();
            if (m_random() % 2 == 0 && opened.path.size() == 1)
                schedule(begin, ifCurrent([&own, &opened, this] { own.crashes.onFirstEvent(opened.number, m_now); }));
            schedule(begin + randomMs(2, 140), ifCurrent([this, victim, &opened] { crash(victim, opened.culprit); }));
            return;
        }
        schedule(begin, ifCurrent([&own, &opened, this] { own.crashes.onFirstEvent(opened.number, m_now); }));
        schedule(begin + milliseconds(520), ifCurrent([this, &opened] { survive(opened, false); }));
        schedule(begin + randomMs(600, 5000), ifCurrent([this, &opened] { complete(opened); }));
    }

    void survive(call& open, bool isComplete)
    {
        auto& own = m_gateways[open.gateway];
        const auto begunAt = own.crashes.takeSurvival(open.number, isComplete, m_now);
        if (begunAt && !own.gate.isEmpty())
            (void)own.gate.reportSurvived(open.request.parts, *begunAt);
        sendSoon(open.gateway);
    }

    void complete(call& open)
    {
        survive(open, true);
        auto& own = m_gateways[open.gateway];
        own.gate.reportCompleted(open.request.whole);
        own.gate.endTrial(open.number);
        own.crashes.forgetCall(open.number);
        open.isOpen = false;
        open.isOver = true;
        sendSoon(open.gateway);
    }

    void killTargets()
    {
        for (std::size_t index = 0; index < firstTargets; ++index) {
            if (m_random() % 3 == 0)
                crash(index, std::nullopt);
        }
        schedule(m_now + milliseconds(static_cast<int>(m_day.killPeriod * 1000)), [this] { killTargets(); });
    }

    void crash(std::size_t victim, std::optional<std::size_t> culprit)
    {
        auto& crashed = m_targets[victim];
        if (!crashed.isUp)
            return;
        crashed.isUp = false;
        if (culprit)
            m_crashes.push_back({ *culprit, m_now });
        std::vector<call*> lost;
        for (auto& each : m_calls) {
            const bool isAffected
                = each->isOpen && std::find(each->path.begin(), each->path.end(), victim) != each->path.end();
            if (!isAffected)
                continue;
            if (each->path.front() == victim)
                m_gateways[each->gateway].crashes.onConnectionLost(each->number, each->request.whole, m_now);
            lost.push_back(each.get());
        }
        schedule(m_now + detectionTime, [this, victim, lost] { detect(victim, lost); });
        schedule(m_now + restartTime, [&crashed] {
            crashed.isUp = true;
            ++crashed.incarnation;
        });
    }

    void detect(std::size_t victim, const std::vector<call*>& lost)
    {
        for (std::size_t index = 0; index < m_gateways.size(); ++index) {
            auto& each = m_gateways[index];
            const auto wholeOf = [this](call_number number) { return m_calls[number - 1]->request.whole; };
            for (auto report : each.crashes.onTargetsEnded(m_targets[victim].address, {}, wholeOf, m_now)) {
                if (!m_policy.weighsShares)
                    countAlike(report);
                each.gate.reportCrash(report, m_now);
            }
            sendSoon(index);
        }
        for (auto* each : lost) {
            if (!each->isOpen)
                continue;
            leave(*each);
            beginDispatch(*each);
        }
    }

    /// Lets three crashes hold a part, and the fourth prove it.
    static void countAlike(registry::crash_report& report)
    {
        for (auto& parts : report.parts) {
            for (auto& suspect : parts)
                suspect.presence = 300;
        }
    }

    void leave(call& open)
    {
        auto& own = m_gateways[open.gateway];
        open.isOpen = false;
        ++open.attempt;
        own.crashes.onAttemptClosed(open.number);
        own.gate.endTrial(open.number);
        open.path.clear();
    }

    void sendSoon(std::size_t index)
    {
        auto& sender = m_gateways[index];
        if (!sender.gate.hasUnsentChanges() || std::exchange(sender.isSending, true))
            return;
        schedule(m_now + messageTime, [this, index] {
            auto& own = m_gateways[index];
            own.isSending = false;
            for (const auto number : own.gate.callsOnTrial()) {
                if (!own.crashes.mayHaveCrashedTarget(number, m_now) && !own.crashes.awaitsTargetState(number, m_now))
                    own.gate.endTrial(number);
            }
            for (const auto& batch : own.gate.takeBatches(false, m_now))
                schedule(m_now + messageTime + commitTime, [this, index, batch] { commit(index, batch); });
        });
    }

    void commit(std::size_t index, const registry::quarantine_batch& batch)
    {
        m_table.apply(batch.change);
        registry::quarantine_receipt receipt { batch.number, {} };
        for (const auto& claim : batch.change.claims) {
            const auto why = m_table.refusalOf(claim);
            if (why != registry::trial_refusal::None)
                receipt.refused.push_back({ claim.trial, why });
        }
        publish();
        schedule(m_now + messageTime, [this, index, receipt] {
            m_gateways[index].gate.onReceipt(receipt, m_now);
            notify(index);
        });
    }

    void publish()
    {
        recordFalseBlame();
        const auto revision = m_table.stageRevision();
        if (std::exchange(m_publishedRevision, revision) == revision)
            return;
        for (std::size_t index = 0; index < m_gateways.size(); ++index) {
            schedule(m_now + messageTime, [this, index] {
                auto& gate = m_gateways[index].gate;
                gate.applyDelta(m_table.changesSince(gate.revision()), m_now);
                notify(index);
            });
        }
    }

    /// Attempts without an event that the quarantine forbids are cancelled.
    void notify(std::size_t index)
    {
        auto& own = m_gateways[index];
        for (auto& each : m_calls) {
            const bool mayCancel = each->gateway == index && each->isOpen
                && own.crashes.mayHaveCrashedTarget(each->number, m_now)
                && own.gate.mustCancel(each->number, each->request);
            if (!mayCancel)
                continue;
            leave(*each);
            beginDispatch(*each);
        }
        sendSoon(index);
    }

    void runLeader()
    {
        registry::quarantine_change change;
        change.expired = m_timers.takeExpired(m_table, m_now);
        m_table.apply(change);
        publish();
        for (std::size_t index = 0; index < m_gateways.size(); ++index)
            sendSoon(index);
        schedule(m_now + leaderPeriod, [this] { runLeader(); });
    }

    void recordFalseBlame()
    {
        for (const auto& [fingerprint, entry] : m_table.entries()) {
            const bool isCulprit = fingerprint.bytes[1] == (culpritPart >> 8U) && fingerprint.bytes[2] == 0;
            if (isCulprit && entry.stage == quarantine_stage::Proven)
                m_provenAt.try_emplace(fingerprint, m_now);
            const bool isRestricted = entry.isPart && entry.stage >= quarantine_stage::Held && !isCulprit;
            if (isRestricted)
                m_heldSince.try_emplace(fingerprint, m_now);
        }
        for (auto held = m_heldSince.begin(); held != m_heldSince.end();) {
            const auto* entry = m_table.find(held->first);
            m_falseParts.insert(held->first);
            m_longestFalse = std::max(m_longestFalse, between(held->second, m_now));
            const bool isStillHeld = entry != nullptr && entry->stage >= quarantine_stage::Held;
            held = isStillHeld ? std::next(held) : m_heldSince.erase(held);
        }
    }

    outcome result()
    {
        outcome figures;
        figures.crashes = static_cast<double>(m_crashes.size()) / static_cast<double>(m_day.culprits);
        for (std::size_t culprit = 0; culprit < m_day.culprits; ++culprit)
            addCulprit(figures, culprit);
        constexpr double perThousand = 1000;
        const double sound = static_cast<double>(std::max<std::size_t>(m_soundCalls, 1));
        figures.soundRejected = perThousand * static_cast<double>(m_soundRejected) / sound;
        figures.soundHeld = perThousand * static_cast<double>(m_soundHeld) / sound;
        figures.falseParts = static_cast<double>(m_falseParts.size());
        figures.falseSeconds = static_cast<double>(m_longestFalse.count()) / 1000;
        return figures;
    }

    void addCulprit(outcome& figures, std::size_t culprit) const
    {
        std::vector<steady_time> crashes;
        for (const auto& [part, when] : m_crashes) {
            if (part == culprit)
                crashes.push_back(when);
        }
        if (crashes.empty())
            return;
        const auto proven = m_provenAt.find(fingerprintFor(culpritPart + culprit));
        const auto proof = proven == m_provenAt.end() ? m_end : proven->second;
        figures.secondsToProof
            = std::max(figures.secondsToProof, static_cast<double>(between(crashes.front(), proof).count()) / 1000);
        if (crashes.size() < crashesUntilKnown)
            return;
        const auto from = crashes[crashesUntilKnown - 1] + knownAfter;
        figures.laterArrivals = std::max(figures.laterArrivals,
            static_cast<double>(std::count_if(m_culpritArrivals.begin(), m_culpritArrivals.end(),
                [&](const auto& arrival) { return arrival.first == culprit && arrival.second > from; })));
    }

    [[nodiscard]] registry::target_incarnation idOf(std::size_t index) const
    {
        return { m_targets[index].address, m_targets[index].incarnation };
    }

    scenario m_day;
    policy m_policy;
    std::mt19937_64 m_random;
    steady_time m_now {};
    steady_time m_end;
    std::uint64_t m_order = 0;
    std::priority_queue<event> m_events;
    std::deque<gateway_state> m_gateways;
    std::vector<target> m_targets;
    std::vector<std::unique_ptr<call>> m_calls;
    registry::quarantine_table m_table;
    registry::quarantine_timers m_timers;
    std::uint64_t m_publishedRevision = 0;
    std::vector<std::pair<std::size_t, steady_time>> m_crashes; ///< culprit and time
    std::vector<std::pair<std::size_t, steady_time>> m_culpritArrivals;
    std::map<request_fingerprint, steady_time> m_provenAt;
    std::map<request_fingerprint, steady_time> m_heldSince; ///< sound parts
    std::set<request_fingerprint> m_falseParts;
    milliseconds m_longestFalse { 0 };
    std::size_t m_soundCalls = 0;
    std::size_t m_soundRejected = 0;
    std::size_t m_soundHeld = 0;
};

struct column {
    const char* name;
    double outcome::*value;
};
constexpr std::array columns {
    column { "ends", &outcome::crashes },
    column { "later", &outcome::laterArrivals },
    column { "proof s", &outcome::secondsToProof },
    column { "rejected", &outcome::soundRejected },
    column { "held", &outcome::soundHeld },
    column { "false parts", &outcome::falseParts },
    column { "false s", &outcome::falseSeconds },
};

void printRow(const scenario& day, const policy& used, const std::vector<outcome>& outcomes)
{
    std::printf("%-28s %-40s", day.name, used.name);
    for (const auto& shown : columns) {
        std::vector<double> values;
        values.reserve(outcomes.size());
        for (const auto& each : outcomes)
            values.push_back(each.*shown.value);
        std::sort(values.begin(), values.end());
        double sum = 0;
        for (const double value : values)
            sum += value;
        std::printf("  %s %.2f (%.2f)", shown.name, sum / static_cast<double>(values.size()), values.back());
    }
    std::printf("\n");
}

} // namespace

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine line(
            "Simulates blame of crashes; prints the mean and, in brackets, the highest value.", ' ', "1");
        TCLAP::ValueArg<unsigned> seeds("", "seeds", "Number of seeds", false, 20, "number", line);
        TCLAP::ValueArg<double> seconds("", "seconds", "Length of a day", false, 34, "seconds", line);
        line.parse(argc, argv);
        for (const auto& day : scenarios) {
            for (const auto& used : policies) {
                std::vector<outcome> outcomes;
                outcomes.reserve(seeds.getValue());
                for (unsigned seed = 1; seed <= seeds.getValue(); ++seed)
                    outcomes.push_back(simulated_day(day, used, seconds.getValue(), seed).run());
                printRow(day, used, outcomes);
                std::fflush(stdout);
            }
        }
        return 0;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "blame_simulation: %s\n", error.what());
        return 2;
    }
}
