/// @file
/// @brief Simulation of requests: entries, claims and the network.
#include "support/request_simulation.hpp"

#include "support/token_model.hpp"

namespace test_support {
namespace {

constexpr milliseconds step { 10 };
constexpr std::uint64_t linkNumbersPerEntry = 1'000'000;

template <typename... Visitors> struct overloaded : Visitors... {
    using Visitors::operator()...;
};
template <typename... Visitors> overloaded(Visitors...) -> overloaded<Visitors...>;

} // namespace

request_simulation::request_simulation(std::size_t entries, std::size_t sidecars, std::uint64_t seed)
    : m_random(seed)
    , m_now(steady_time {} + std::chrono::hours(1))
    , m_entries(entries)
    , m_sidecars(sidecars)
    , m_knownConfigurations(entries, 1)
{
    for (std::size_t sidecar = 0; sidecar < sidecars; ++sidecar)
        restartSidecar(sidecar);
}

std::size_t request_simulation::submit(const simulated_request& request)
{
    const std::string id = "r" + std::to_string(++m_lastRequest);
    caller newCaller;
    newCaller.record.request = id;
    newCaller.record.key = request.key;
    newCaller.record.expected = responseTo(request.prompt, request.tokens);
    newCaller.prompt = request.prompt;
    newCaller.tokens = request.tokens;
    m_callers.push_back(newCaller);
    m_keys[id] = request.key;
    run_request runRequest;
    runRequest.id = id;
    runRequest.nonIdempotent = !request.key.empty();
    runRequest.claim = { "w", request.key };
    runRequest.requestDigest = std::hash<std::string>()(request.prompt);
    runRequest.canResume = true;
    runRequest.isStream = request.streams;
    runRequest.deadline = m_now + request.timeout;
    auto& runs = m_entries[request.entry].runs;
    runs.emplace(id, open_run { request_run(runRequest, {}, m_now), m_callers.size() - 1, "" });
    runs.at(id).run.start(m_now);
    applyEffects(request.entry, id);
    return m_callers.size() - 1;
}

void request_simulation::run(milliseconds period)
{
    const steady_time end = m_now + period;
    while (m_now < end) {
        m_now += step;
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
        }
        for (std::size_t sidecar = 0; sidecar < m_sidecars.size(); ++sidecar) {
            if (m_sidecars[sidecar].paused)
                continue;
            m_sidecars[sidecar].core->gate().renewConfiguration(m_configuration, m_now + std::chrono::seconds(3));
            m_sidecars[sidecar].core->tick(m_now);
            applySidecarEffects(sidecar);
        }
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
            std::vector<std::string> ids;
            for (const auto& [id, open] : m_entries[entry].runs)
                ids.push_back(id);
            for (const auto& id : ids) {
                m_entries[entry].runs.at(id).run.tick(m_now);
                applyEffects(entry, id);
            }
        }
    }
}

void request_simulation::killSidecar(std::size_t sidecar)
{
    restartSidecar(sidecar);
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry)
        closeLink(entry, sidecar);
}

void request_simulation::pauseSidecar(std::size_t sidecar, bool paused)
{
    auto& node = m_sidecars[sidecar];
    node.paused = paused;
    if (paused)
        return;
    for (const auto& action : std::exchange(node.deferredEvents, {}))
        action();
    applySidecarEffects(sidecar);
}

void request_simulation::killEntry(std::size_t entry)
{
    m_entries[entry].runs.clear();
    m_entries[entry].attachedRequests.clear();
    ++m_entries[entry].incarnation;
    for (std::size_t sidecar = 0; sidecar < m_sidecars.size(); ++sidecar)
        closeLink(entry, sidecar);
}

void request_simulation::closeLink(std::size_t entry, std::size_t sidecar)
{
    const link_number linkNumber = linkNumberOf(entry, sidecar);
    ++linkOf(entry, sidecar).epoch;
    runAtSidecar(sidecar, [this, sidecar, linkNumber] { m_sidecars[sidecar].core->linkLost(linkNumber, m_now); });
    std::vector<std::string> ids;
    for (const auto& [id, open] : m_entries[entry].runs)
        ids.push_back(id);
    for (const auto& id : ids) {
        const auto found = m_entries[entry].runs.find(id);
        if (found == m_entries[entry].runs.end())
            continue;
        found->second.run.linkLost(std::to_string(sidecar), m_now);
        applyEffects(entry, id);
    }
}

void request_simulation::cutLink(std::size_t entry, std::size_t sidecar, bool cut)
{
    linkOf(entry, sidecar).cut = cut;
    if (!cut)
        closeLink(entry, sidecar);
}

void request_simulation::setMode(std::size_t sidecar, target_mode mode) { m_sidecars[sidecar].mode = mode; }

void request_simulation::drainSidecar(std::size_t sidecar)
{
    m_sidecars[sidecar].draining = true;
    m_sidecars[sidecar].core->gate().setDraining(true);
}

void request_simulation::publishConfiguration()
{
    ++m_configuration;
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        schedule(milliseconds(m_random() % 300), [this, entry] {
            m_knownConfigurations[entry] = m_configuration;
            std::vector<std::string> ids;
            for (const auto& [id, open] : m_entries[entry].runs)
                ids.push_back(id);
            for (const auto& id : ids) {
                m_entries[entry].runs.at(id).run.configurationReceived(m_now);
                applyEffects(entry, id);
            }
        });
    }
}

std::vector<caller_record> request_simulation::callers() const
{
    std::vector<caller_record> records;
    for (const auto& caller : m_callers)
        records.push_back(caller.record);
    return records;
}

std::vector<std::string> request_simulation::violations() const
{
    std::vector<std::string> all;
    const auto records = callers();
    for (const auto& part : { checkResponses(records), checkNotExecuted(records, m_executions),
             checkKeysRunOnce(m_executions), checkAttempts(m_executions) })
        all.insert(all.end(), part.begin(), part.end());
    return all;
}

void request_simulation::schedule(milliseconds delay, event action)
{
    m_events.emplace(m_now + delay, std::move(action));
}

void request_simulation::applyEffects(std::size_t entry, const std::string& request)
{
    const auto found = m_entries[entry].runs.find(request);
    if (found == m_entries[entry].runs.end())
        return;
    auto& open = found->second;
    while (const auto effect = open.run.nextEffect())
        applyEffect(entry, open, *effect);
    if (open.run.isFinished()) {
        std::erase_if(m_entries[entry].attachedRequests, [&](const auto& item) { return item.second == request; });
        m_entries[entry].runs.erase(request);
    }
}

void request_simulation::applyEffect(std::size_t entry, open_run& open, const run_effect& effect)
{
    auto& caller = m_callers[open.caller];
    const auto sidecarOf = [](const chosen_target& target) { return std::stoul(target.instance); };
    std::visit(overloaded {
                   [&](const choose_target& request) {
                       std::vector<std::size_t> candidates;
                       for (std::size_t sidecar = 0; sidecar < m_sidecars.size(); ++sidecar) {
                           if (!request.excluded.contains(std::to_string(sidecar)))
                               candidates.push_back(sidecar);
                       }
                       if (candidates.empty()) {
                           open.run.noTarget({ result_code::NoTarget, "" }, m_now);
                           return;
                       }
                       const std::size_t chosen = candidates[m_random() % candidates.size()];
                       // An entry sometimes knows only an outdated incarnation.
                       const auto knownIncarnation
                           = m_sidecars[chosen].incarnation - (usesStaleIncarnations && m_random() % 8 == 0 ? 1 : 0);
                       open.run.targetChosen({ std::to_string(chosen), knownIncarnation }, m_now);
                   },
                   [&](const send_claim& request) { sendClaim(entry, open.run.request().id, request); },
                   [&](const send_offer& offer) {
                       attempt_offer message;
                       message.attempt = offer.attempt;
                       message.incarnation = offer.target.incarnation;
                       message.configuration = m_knownConfigurations[entry];
                       message.startWithinMs = 2000;
                       message.finishWithinMs = 8000;
                       message.workspace = "w";
                       message.nonIdempotent = open.run.request().nonIdempotent;
                       message.work.prompt = caller.prompt;
                       for (const auto& token : offer.priorTokens)
                           message.work.prompt += token;
                       message.work.maxTokens = caller.tokens - static_cast<std::uint32_t>(offer.priorTokens.size());
                       sendToSidecar(entry, sidecarOf(offer.target), message);
                   },
                   [&](const send_revoke& revoke) {
                       if (disabled == disabled_protection::Tombstones) {
                           schedule(milliseconds(1), [this, entry, revoke] {
                               receive(entry, revoke_reply { revoke.attempt, revoke_outcome::NotStarted });
                           });
                           return;
                       }
                       sendToSidecar(entry, sidecarOf(revoke.target),
                           attempt_revoke { revoke.attempt, revoke.target.incarnation, revoke.cancelStarted });
                   },
                   [&](const send_attach& attach) {
                       m_entries[entry].attachedRequests.emplace(attach.attempt.request, open.run.request().id);
                       sendToSidecar(entry, sidecarOf(attach.target),
                           response_attach { attach.attempt, attach.target.incarnation });
                   },
                   [&](const deliver_frames& frames) {
                       for (const auto& frame : frames.frames)
                           (open.run.request().isStream ? caller.record.text : open.buffered) += frame.bytes;
                   },
                   [&](const await_configuration&) {},
                   [&](const finish_run& last) {
                       caller.record.hasResponse = true;
                       caller.record.code = last.result.code;
                       caller.record.ran = last.ran;
                       if (last.result.code == result_code::Ok)
                           caller.record.text += open.buffered;
                   },
               },
        effect);
}

bool request_simulation::isForeign(const open_run& open, const attempt_id& attempt) const
{
    return open.run.request().id != attempt.request;
}

void request_simulation::forEachRun(
    std::size_t entry, const attempt_id& attempt, const std::function<void(request_run&)>& action)
{
    std::vector<std::string> ids { attempt.request };
    const auto [first, last] = m_entries[entry].attachedRequests.equal_range(attempt.request);
    for (auto it = first; it != last; ++it)
        ids.push_back(it->second);
    for (const auto& id : ids) {
        const auto found = m_entries[entry].runs.find(id);
        if (found == m_entries[entry].runs.end())
            continue;
        action(found->second.run);
        applyEffects(entry, id);
    }
}

void request_simulation::sendClaim(std::size_t entry, const std::string& request, const send_claim& claim)
{
    claim_command command;
    command.key = { "w", m_keys[request] };
    command.requestDigest = 1;
    command.holder = claim.holder;
    command.replaces = claim.replaces;
    command.wallSeconds = 1000;
    command.retainSeconds = 3600;
    const auto incarnation = m_entries[entry].incarnation;
    schedule(milliseconds(m_random() % 30), [this, entry, request, command, incarnation] {
        // A command whose reply is lost may still commit.
        const bool commits = !m_losesClaims || m_random() % 2 == 0;
        auto result = commits ? m_claims.apply(command) : claim_result {};
        if (disabled == disabled_protection::Claims)
            result = { claim_outcome::Granted, command.holder };
        if (m_losesClaims)
            return;
        schedule(milliseconds(m_random() % 30), [this, entry, request, result, incarnation] {
            const auto found = m_entries[entry].runs.find(request);
            if (incarnation != m_entries[entry].incarnation || found == m_entries[entry].runs.end())
                return;
            found->second.run.claimReplyReceived(result, m_now);
            applyEffects(entry, request);
        });
    });
}

void request_simulation::transmit(std::size_t entry, std::size_t sidecar, const event& deliver)
{
    const std::size_t number = m_messages++;
    const message_action action = onMessage ? onMessage(number) : message_action::Deliver;
    if (linkOf(entry, sidecar).cut || action == message_action::Drop)
        return;
    const auto epoch = linkOf(entry, sidecar).epoch;
    const auto guarded = [this, entry, sidecar, epoch, deliver] {
        if (linkOf(entry, sidecar).epoch == epoch && !linkOf(entry, sidecar).cut)
            deliver();
    };
    schedule(milliseconds(action == message_action::Delay ? 900 : m_random() % 20), guarded);
    if (action == message_action::Duplicate)
        schedule(milliseconds(m_random() % 200), guarded);
}

void request_simulation::sendToSidecar(std::size_t entry, std::size_t sidecar, const to_sidecar& message)
{
    transmit(entry, sidecar, [this, entry, sidecar, message] {
        runAtSidecar(sidecar, [this, entry, sidecar, message] { receive(entry, sidecar, message); });
    });
}

void request_simulation::receive(std::size_t entry, std::size_t sidecar, const to_sidecar& message)
{
    auto& core = *m_sidecars[sidecar].core;
    const auto linkNumber = linkNumberOf(entry, sidecar);
    const auto effectiveIncarnation = [&](incarnation_number received) {
        return disabled == disabled_protection::Incarnations ? m_sidecars[sidecar].incarnation : received;
    };
    std::visit(overloaded {
                   [&](attempt_offer offer) {
                       offer.incarnation = effectiveIncarnation(offer.incarnation);
                       core.offer(offer, linkNumber, m_now);
                   },
                   [&](attempt_revoke revoke) {
                       revoke.incarnation = effectiveIncarnation(revoke.incarnation);
                       core.revoke(revoke, linkNumber, m_now);
                   },
                   [&](response_attach attach) {
                       attach.incarnation = effectiveIncarnation(attach.incarnation);
                       core.attach(attach, linkNumber, m_now);
                   },
               },
        message);
}

void request_simulation::sendToEntry(std::size_t sidecar, link_number linkNumber, const sidecar_message& message)
{
    const std::size_t entry = linkNumber / linkNumbersPerEntry - 1;
    if (linkNumber != linkNumberOf(entry, sidecar))
        return; // the link has closed since
    transmit(entry, sidecar, [this, entry, message] { receive(entry, message); });
}

void request_simulation::receive(std::size_t entry, const sidecar_message& message)
{
    std::visit(
        overloaded {
            [&](const attempt_accepted& received) {
                forEachRun(entry, received.attempt, [&](request_run& run) { run.accepted(received.attempt, m_now); });
            },
            [&](const attempt_refused& received) {
                forEachRun(entry, received.attempt, [&](request_run& run) { run.refused(received, m_now); });
            },
            [&](const attempt_started& received) {
                forEachRun(entry, received.attempt, [&](request_run& run) { run.started(received.attempt, m_now); });
            },
            [&](response_frame received) {
                if (disabled == disabled_protection::Ownership && !m_entries[entry].runs.empty()) {
                    auto& open = m_entries[entry].runs.begin()->second;
                    if (isForeign(open, received.attempt))
                        open.buffered += received.bytes;
                }
                forEachRun(entry, received.attempt, [&](request_run& run) { run.frame(received, m_now); });
            },
            [&](const response_end& received) {
                auto end = received;
                if (disabled == disabled_protection::Digests) {
                    forEachRun(entry, received.attempt, [&](request_run& run) {
                        // The end message of an empty response: it matches if it arrives before all frames.
                        end.frameCount = 0;
                        end.digest = response_digest().value();
                        run.ended(end, m_now);
                    });
                    return;
                }
                forEachRun(entry, received.attempt, [&](request_run& run) { run.ended(received, m_now); });
            },
            [&](const revoke_reply& received) {
                forEachRun(
                    entry, received.attempt, [&](request_run& run) { run.revokeReplyReceived(received, m_now); });
            },
            [&](const attach_reply& received) {
                forEachRun(
                    entry, received.attempt, [&](request_run& run) { run.attachReplyReceived(received, m_now); });
            },
            [&](const load_report&) {},
        },
        message);
}

link_number request_simulation::linkNumberOf(std::size_t entry, std::size_t sidecar)
{
    return (entry + 1) * linkNumbersPerEntry + linkOf(entry, sidecar).epoch;
}

} // namespace test_support
