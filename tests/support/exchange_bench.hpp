/// @file
/// @brief Fixture for tests of an exchange: three targets or three chains, and a port that records its calls.
#pragma once

#include "buckthornrail/gateway/exchange.hpp"

#include <catch2/catch.hpp>

namespace test_support {

using namespace buckthornrail;
using namespace buckthornrail::gateway;

inline constexpr steady_time zero {};

/// Records the calls of the exchange.
class recording_port : public exchange_port {
public:
    dispatch_verdict requestDispatch(const selection& selected) override
    {
        dispatchRequests.push_back(selected.parts.front().target.id);
        return verdicts.contains(dispatchRequests.back()) ? verdicts.at(dispatchRequests.back()) : verdict;
    }
    bool mustCancel() override { return mustCancelAttempt; }
    void openAttempt(std::uint32_t number, const selection& selected, std::optional<std::uint64_t> lastEventId) override
    {
        CHECK_FALSE(isOpen);
        isOpen = true;
        attempts = number;
        target = selected.parts.front().target.id;
        targets.push_back(target);
        resumeAfter = lastEventId;
    }
    void cancelAttempt() override { isOpen = false; }
    void requestReport() override { ++reports; }
    void probeMembers(steady_time aliveSince) override
    {
        ++probes;
        probeAliveSince = aliveSince;
    }
    steady_time probeAliveSince {}; ///< argument of the last probe
    void forwardResponse() override { end("forwarded"); }
    void beginStream() override { streamStarted = true; }
    void forwardEvent(std::string_view bytes) override { events += bytes; }
    void endStream() override { end("ended"); }
    void abortStream() override { end("aborted"); }
    void sendError(result_code code, ran_state ran, const std::string& /*reason*/) override
    {
        errorCode = code;
        errorRan = ran;
        end("error");
    }
    void setTimer(steady_time when) override { timer = when; }
    request_fingerprint fingerprint() override { return {}; }
    void logEvent(event_code /*event*/, std::initializer_list<log_field> /*fields*/) override { }

    dispatch_verdict verdict = dispatch_verdict::Go;
    std::map<std::string, dispatch_verdict> verdicts; ///< by first target; `verdict` applies to any other
    std::vector<std::string> dispatchRequests; ///< first target of each
    bool mustCancelAttempt = false;
    bool isOpen = false;
    bool streamStarted = false;
    std::uint32_t attempts = 0;
    std::string target;
    std::vector<std::string> targets;
    std::optional<std::uint64_t> resumeAfter;
    int reports = 0;
    int probes = 0;
    std::string events;
    std::string outcome; ///< empty: none yet
    result_code errorCode = result_code::Ok;
    ran_state errorRan = ran_state::No;
    steady_time timer {};

private:
    void end(const std::string& how)
    {
        CHECK(outcome.empty()); // one final response
        CHECK_FALSE(isOpen);
        outcome = how;
    }
};

/// A gateway with three targets of one service, or three chains of two targets each.
class exchange_bench {
public:
    exchange_bench(request_kind kind, bool resumable, bool layered)
    {
        route definition;
        definition.name = "r";
        definition.kind = kind;
        definition.resumable = resumable;
        definition.timeout = milliseconds(1000);
        definition.latencyTarget = milliseconds(100);
        definition.maxAttempts = 2;
        definition.services = { { "s", 1 } };
        m_route = std::make_shared<route>(definition);
        std::map<std::string, registry::target_record> records;
        for (const std::string domain : { "a", "b", "c" }) {
            for (const std::uint32_t part : { 0U, 1U }) {
                if (part == 1 && !layered)
                    continue;
                registry::target_record record;
                record.id = domain + std::to_string(part);
                record.address = record.id + ":1";
                record.service = "s";
                record.failureDomain = domain;
                if (layered)
                    record.layers = { part * 5, part * 5 + 5 };
                records[record.id] = record;
            }
        }
        m_records = records;
        pool.update(records);
        if (layered) {
            layered_engine engine;
            engine.layers = 10;
            engine.stepMs = 1;
            pool.setEngine("s", engine);
        }
    }

    /// The controllers report a new state of a target.
    void setState(const std::string& id, registry::target_state state)
    {
        m_records.at(id).state = state;
        pool.update(m_records);
    }

    /// The controllers report which layers a target holds now.
    void setLayers(const std::string& id, registry::layer_range layers)
    {
        m_records.at(id).layers = layers;
        pool.update(m_records);
    }

    /// The controllers report that a target has restarted. It holds the given layers, none by default.
    void restart(const std::string& id, std::uint64_t startedMs, registry::layer_range layers = {})
    {
        auto& record = m_records.at(id);
        record.startedMs = startedMs;
        record.state = registry::target_state::Ready;
        record.layers = layers;
        pool.update(m_records);
    }

    exchange make()
    {
        exchange_request request;
        request.id = "q";
        request.service = "s";
        request.route = m_route;
        request.arrivedAt = zero;
        request.deadline = zero + milliseconds(1000);
        budget.setGatewayCount(1, zero);
        return { request, port, pool, budget };
    }

    const std::vector<std::string> firstTargets { "a0", "b0", "c0" }; ///< targets that may take a request
    recording_port port;
    target_pool pool { pool_options { "a" }, 7 };
    shared_retry_budget budget { shared_retry_budget_options {} };

private:
    route_pointer m_route;
    std::map<std::string, registry::target_record> m_records;
};

inline target_response authenticResponse(int status, bool stream = false)
{
    return { status, false, true, stream, {} };
}
inline target_response refusal(const std::string& faulty = {}) { return { 503, true, false, false, faulty }; }

/// @brief The open attempt's target starts an event stream.
inline void beginStream(exchange& call)
{
    call.onSent(zero);
    call.onHead(authenticResponse(200, true), zero);
}

} // namespace test_support
