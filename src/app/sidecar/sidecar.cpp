/// @file
/// @brief Connects the dispatch core, the stage guard, the target and the links.
#include "app/sidecar/sidecar.hpp"

#include "app/shared/role_runner.hpp"

namespace buckthornrail::app {
namespace {

constexpr milliseconds tickPeriod { 50 };
constexpr milliseconds leaveTimeout { 1500 }; ///< for the acknowledgement of the state Left
constexpr std::size_t extraThreads = 4; ///< in addition to one per slot: for probes, cancellations, orders and steps

dispatch::gate_options gateOptions(const settings::settings& settings, incarnation_number incarnation)
{
    dispatch::gate_options options;
    options.incarnation = incarnation;
    options.slots = settings.slots;
    options.queueLimit = settings.queueLimit;
    return options;
}

dispatch::order_options orderOptions(const settings::settings& settings)
{
    dispatch::order_options options;
    options.targetChecksFences = settings.targetFencing == "checked";
    options.orderTimeout = milliseconds(settings.orderTimeoutMs);
    return options;
}

membership::instance_record makeRecord(const settings::settings& settings, incarnation_number incarnation)
{
    membership::instance_record record;
    record.id = settings.id;
    record.role = membership::instance_role::Sidecar;
    record.incarnation = incarnation;
    record.failureDomain = settings.failureDomain;
    record.linkAddress = settings.reachableAddress();
    record.httpAddress = settings.httpAddress;
    auto& target = record.target;
    target.kind = valueIn(membership::targetKindNames, settings.targetKind).value_or(target.kind);
    target.model = settings.model;
    target.version = settings.version;
    target.service = settings.service;
    target.pool = settings.pool;
    target.accelerator = settings.accelerator;
    target.firstLayer = settings.firstLayer;
    target.endLayer = settings.endLayer;
    target.slots = settings.slots;
    return record;
}

} // namespace

sidecar::sidecar(link::event_loop& loop, const settings::settings& settings, telemetry::metrics& metrics)
    : m_loop(loop)
    , m_settings(settings)
    , m_metrics(metrics)
    , m_incarnation(randomNumber())
    , m_targetAdapter(makeTargetAdapter(settings))
    , m_core(settings.id, gateOptions(settings, m_incarnation), settings.responseStoreBytes, steadyNow())
    , m_orders(orderOptions(settings), steadyNow())
    , m_pool(settings.slots + extraThreads)
{
}

sidecar::~sidecar()
{
    for (auto& [attempt, canceller] : m_cancellers)
        canceller->cancel();
    m_pool.join();
}

tl::expected<void, failure> sidecar::start()
{
    m_hub = std::make_unique<link::link_hub>(m_loop,
        link::hub_handlers {
            [this](link::link_number linkNumber, bool inbound) {
                if (inbound || m_session->onOpened(linkNumber))
                    return;
                send(linkNumber, link::link_hello { m_settings.id, m_incarnation, 0 });
                for (const auto& bytes : m_unsent[linkNumber])
                    m_hub->send(linkNumber, bytes);
                m_unsent.erase(linkNumber);
            },
            [this](link::link_number linkNumber) { onClosed(linkNumber); },
            [this](link::link_number linkNumber, const std::string& bytes) { onMessage(linkNumber, bytes); },
            [this](link::link_number linkNumber) { m_session->onProgress(linkNumber); },
        });
    if (m_hub->listen(m_settings.linkAddress) == 0)
        return tl::make_unexpected(failure { result_code::BadSettings, "can't listen on " + m_settings.linkAddress });
    session_callbacks callbacks;
    callbacks.leaseRenewed = [this](configuration_version version, steady_time deadline) {
        m_core.gate().renewConfiguration(version, deadline);
    };
    callbacks.configurationApplied = [](const configuration::document&, configuration_version) {};
    callbacks.membershipChanged = [](const membership::membership_delta&) {};
    callbacks.claimReplyReceived = [](const link::claim_reply&) {};
    callbacks.orderReceived = [this](const dispatch::target_order& order) {
        m_orders.offer(order, steadyNow());
        applyOrderEffects();
    };
    callbacks.drainRequested = [this](bool drain) {
        if (m_isStopping || drain == m_core.gate().isDraining())
            return;
        m_core.gate().setDraining(drain);
        telemetry::logEvent(event_code::TargetDraining, { { "drain", drain ? "yes" : "no" }, { "by", "operator" } });
    };
    m_session = std::make_unique<session_client>(
        m_loop, *m_hub, m_settings, makeRecord(m_settings, m_incarnation), false, std::move(callbacks));
    m_ticker = std::make_unique<periodic_task>(m_loop, tickPeriod, [this] { tick(); });
    m_prober = std::make_unique<periodic_task>(m_loop, milliseconds(m_settings.probeMs), [this] { probe(); });
    probe();
    return {};
}

void sidecar::stop(std::function<void()> done)
{
    m_isStopping = true;
    m_isReady = false;
    m_core.gate().setDraining(true);
    m_onStopped = std::move(done);
    m_session->setState(membership::instance_state::Draining);
    telemetry::logEvent(event_code::TargetDraining, { { "drain", "yes" }, { "by", "signal" } });
}

void sidecar::onClosed(link::link_number linkNumber)
{
    if (m_session->onClosed(linkNumber))
        return;
    m_peers.erase(linkNumber);
    m_unsent.erase(linkNumber);
    std::erase_if(m_stageLinks, [linkNumber](const auto& item) { return item.second == linkNumber; });
    m_core.linkLost(linkNumber, steadyNow());
    applyEffects();
}

void sidecar::onMessage(link::link_number linkNumber, const std::string& bytes)
{
    const auto message = decodeOrClose(*m_hub, linkNumber, bytes);
    if (message && !m_session->onMessage(linkNumber, *message))
        handle(linkNumber, *message);
}

void sidecar::handle(link::link_number linkNumber, const link::message& message)
{
    if (const auto* hello = std::get_if<link::link_hello>(&message))
        onHello(linkNumber, *hello);
    else if (const auto* offer = std::get_if<dispatch::attempt_offer>(&message))
        onOffer(linkNumber, *offer);
    else if (const auto* revoke = std::get_if<dispatch::attempt_revoke>(&message))
        m_core.revoke(*revoke, linkNumber, steadyNow());
    else if (const auto* attach = std::get_if<dispatch::response_attach>(&message))
        m_core.attach(*attach, linkNumber, steadyNow());
    else if (const auto* step = std::get_if<execution::stage_step>(&message))
        onStep(*step);
    else if (const auto* fence = std::get_if<link::stage_fence>(&message))
        onFence(linkNumber, *fence);
    else if (const auto* close = std::get_if<link::stage_close>(&message))
        onStageClose(close->request);
    applyEffects();
}

void sidecar::onHello(link::link_number linkNumber, const link::link_hello& hello)
{
    // Only the newest link of a peer stays open, so that messages still in transit on an older one can't arrive after
    // messages on the newer one.
    std::vector<link::link_number> superseded;
    for (const auto& [other, known] : m_peers) {
        if (known.instance != hello.instance || other == linkNumber || hello.epoch == 0)
            continue;
        const bool isOlder = known.incarnation != hello.incarnation || known.epoch < hello.epoch;
        superseded.push_back(isOlder ? other : linkNumber);
    }
    m_peers[linkNumber] = { hello.instance, hello.incarnation, hello.epoch };
    send(linkNumber, link::link_welcome { m_settings.id, m_incarnation });
    m_core.reportLoad(linkNumber);
    for (const auto other : superseded)
        m_hub->close(other);
}

void sidecar::onOffer(link::link_number linkNumber, const dispatch::attempt_offer& offer)
{
    if (m_peers.contains(linkNumber))
        m_core.offer(offer, linkNumber, steadyNow());
    else
        send(linkNumber, dispatch::attempt_refused { offer.attempt, result_code::StaleLink, "" });
}

void sidecar::applyEffects()
{
    while (const auto effect = m_core.nextEffect()) {
        if (const auto* start = std::get_if<dispatch::start_work>(&*effect)) {
            startWork(*start);
            continue;
        }
        if (const auto* cancel = std::get_if<dispatch::cancel_work>(&*effect)) {
            cancelWork(*cancel);
            continue;
        }
        const auto& sending = std::get<dispatch::send_to_link>(*effect);
        if (const auto* refused = std::get_if<dispatch::attempt_refused>(&sending.message)) {
            const std::string code(describe(refused->code).name);
            m_metrics.count("offers_refused_total", code);
            telemetry::logEvent(
                event_code::OfferRefused, { { "attempt", toString(refused->attempt) }, { "code", code } });
        }
        std::visit([&](const auto& message) { send(sending.linkNumber, message); }, sending.message);
    }
    m_metrics.gauge("running", static_cast<double>(m_core.gate().running()));
    m_metrics.gauge("queued", static_cast<double>(m_core.gate().queued()));
}

void sidecar::startWork(const dispatch::start_work& work)
{
    telemetry::logEvent(event_code::WorkStarted, { { "attempt", toString(work.attempt) } });
    if (work.work.kind == dispatch::work_kind::Stage) {
        startStage(work);
        return;
    }
    auto canceller = std::make_shared<http::call_canceller>();
    m_cancellers[work.attempt] = canceller;
    asio::post(m_pool, [this, work, canceller] {
        const auto sink = [this](dispatch::response_frame frame) {
            m_loop.post([this, frame = std::move(frame)]() mutable {
                m_core.frame(std::move(frame));
                applyEffects();
            });
        };
        const auto outcome = m_targetAdapter->run(work.attempt, work.work, work.deadline, *canceller, sink);
        m_loop.post([this, attempt = work.attempt, outcome] { onWorkEnded(attempt, outcome); });
    });
}

void sidecar::cancelWork(const dispatch::cancel_work& work)
{
    telemetry::logEvent(event_code::WorkCancelled, { { "attempt", toString(work.attempt) } });
    if (work.kind == dispatch::work_kind::Stage) {
        m_guard.close(work.attempt.request);
        endStage(work.attempt.request);
        return;
    }
    const auto found = m_cancellers.find(work.attempt);
    if (found == m_cancellers.end())
        return;
    asio::post(m_pool, [this, attempt = work.attempt, canceller = found->second] {
        canceller->cancel();
        m_targetAdapter->cancel(attempt);
    });
}

void sidecar::onWorkEnded(const attempt_id& attempt, const dispatch::work_outcome& outcome)
{
    const std::string code(describe(outcome.code).name);
    telemetry::logEvent(event_code::WorkFinished, { { "attempt", toString(attempt) }, { "code", code } });
    m_metrics.count("work_total", code);
    m_cancellers.erase(attempt);
    m_core.ended(attempt, outcome, steadyNow());
    applyEffects();
}

void sidecar::send(link::link_number linkNumber, const link::message& message)
{
    if (linkNumber != 0)
        m_hub->send(linkNumber, link::encode(message));
}

void sidecar::probe()
{
    if (m_probing)
        return;
    m_probing = true;
    asio::post(m_pool, [this] {
        const auto status = m_targetAdapter->probe();
        m_loop.post([this, status] { onProbeEnded(status); });
    });
}

void sidecar::onProbeEnded(const target_status& status)
{
    m_probing = false;
    m_metrics.gauge("target_running", status.running);
    m_metrics.gauge("target_waiting", status.queued);
    if (status.ready != m_targetReady) {
        m_targetReady = status.ready;
        telemetry::logEvent(event_code::TargetStateChanged, { { "ready", status.ready ? "yes" : "no" } });
    }
    m_core.gate().setReady(status.ready && !m_paused);
    announceState();
}

void sidecar::announceState()
{
    if (m_isStopping)
        return;
    m_session->setState(
        m_targetReady && !m_paused ? membership::instance_state::Ready : membership::instance_state::Joined);
    m_isReady = m_targetReady && m_session->hasLease();
}

void sidecar::tick()
{
    const steady_time now = steadyNow();
    m_core.tick(now);
    if (m_paused && m_core.gate().running() + m_core.gate().queued() == 0)
        m_orders.workDrained(now);
    m_orders.tick(now);
    applyOrderEffects();
    for (const auto& request : m_guard.expire(now))
        endStage(request);
    applyEffects();
    m_metrics.gauge("link_bytes_sent", static_cast<double>(m_hub->bytesSent()));
    m_metrics.gauge("link_bytes_received", static_cast<double>(m_hub->bytesReceived()));
    if (!m_onStopped || m_core.gate().running() + m_core.gate().queued() > 0)
        return;
    if (m_session->record().state != membership::instance_state::Left) {
        m_session->setState(membership::instance_state::Left);
        m_leaveDeadline = now + leaveTimeout;
        return;
    }
    if (m_session->isStateAcknowledged() || now >= m_leaveDeadline)
        std::exchange(m_onStopped, {})();
}

int runSidecar(const settings::settings& settings)
{
    return runRole<sidecar>(settings, settings::process_role::Sidecar,
        [](link::event_loop&, sidecar&) { return std::vector<http::http_route> {}; });
}

} // namespace buckthornrail::app
