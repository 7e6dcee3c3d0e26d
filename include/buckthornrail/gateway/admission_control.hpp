/// @file
/// @brief Decides for each request of a ranked service whether it starts, waits or is refused, and when a refused
/// caller is to return. Does no I/O.
#pragma once

#include "buckthornrail/core/enum_names.hpp"
#include "buckthornrail/gateway/admission.hpp"
#include "buckthornrail/gateway/admission_queue.hpp"
#include "buckthornrail/gateway/return_schedule.hpp"
#include "buckthornrail/gateway/target_pool.hpp"

#include <array>
#include <map>
#include <optional>
#include <string>

namespace buckthornrail::gateway {

/// What is known of a request that asks for admission.
struct admission_ticket {
    std::uint64_t call = 0; ///< identifies the request at this gateway
    std::string service;
    std::uint32_t priority = 0; ///< see priority_table
    bool isReturning = false; ///< it was refused before
    double tokens = 0; ///< prompt and expected output
    std::size_t bytes = 0; ///< of the body
    steady_time arrivedAt {};
    steady_time firstEventDeadline {}; ///< arrival of the caller's first request plus the latency target
    milliseconds latencyTarget { 0 };
    steady_time callerDeadline {};
};

enum class admission_verdict : std::uint8_t {
    Start, ///< there is free capacity for it
    Wait, ///< it is queued
    Refuse, ///< it can't start in time
};

inline constexpr std::array admissionVerdictNames {
    enum_name<admission_verdict> { admission_verdict::Start, "start" },
    enum_name<admission_verdict> { admission_verdict::Wait, "wait" },
    enum_name<admission_verdict> { admission_verdict::Refuse, "refuse" },
};

struct admission_decision {
    admission_verdict verdict = admission_verdict::Refuse;
    std::string reason; ///< of a refusal, for logs
};

/// Figures behind a decision.
struct admission_figures {
    double reservedShare = 0; ///< of the capacity, for higher priorities and returning requests
    double tokensAhead = 0; ///< see admission::waitingAhead()
    double tokensPerSecond = 0; ///< expected to be released by the attempts of all gateways
};

struct admission_control_options {
    /// Share of the latency target that a request may spend waiting. The rest is left to its prefill, which takes
    /// longest when a service is short of capacity.
    double waitShare = 0.5;
    /// A returning request that is already late waits this long: its caller disconnects after two seconds without a
    /// first event.
    milliseconds maxLateWait { 1500 };
    /// Spare rates below this share of the release rate count as none: both rates are estimates, and their difference
    /// is mostly error when demand and capacity are about equal.
    double minSpareShare = 0.05;
    admission_queue_options queue {};
    return_schedule_options returns {};
    admission_options admission {};
};

/// @brief Admission of one gateway: combines the shared reservations, the gateway's queue and its return times.
class admission_control {
public:
    explicit admission_control(std::uint64_t seed, const admission_control_options& options = {});

    /// @brief Sets the ranked services and their priorities. Queued requests keep their place until they are asked for.
    void setRankedServices(const std::map<std::string, std::vector<std::uint32_t>>& priorities, steady_time now);
    [[nodiscard]] bool isRanked(const std::string& service) const { return m_admission.isRanked(service); }
    /// @brief Whether the document ranks any service.
    [[nodiscard]] bool isActive() const { return m_isActive; }
    /// @brief Sets the tokens that the targets of a service have memory for.
    void setCapacity(const std::string& service, double tokens) { m_admission.setCapacity(service, tokens); }
    /// @brief Sets the demand at all other gateways.
    void setOthers(const registry::demand_report& others, steady_time now);
    void setGatewayCount(std::size_t gateways) { m_gateways = gateways; }
    /// @brief This gateway's demand, to be reported to the others; empty while no service is ranked.
    [[nodiscard]] registry::demand_report report(steady_time now);

    /// @brief Counts a request once, before its first decision.
    void countArrival(const admission_ticket& ticket, steady_time now);
    /// @brief Decides about a request that is new or queued. A request told to wait is in the queue afterwards; any
    /// other one is not.
    /// @param selected where it would start; its capacity is checked against the reservation. Empty: it can't start
    admission_decision decide(
        const admission_ticket& ticket, const std::optional<selection>& selected, steady_time now);
    /// @brief Whether a path is worth searching for a request: no other request goes before it, it isn't late, and the
    /// emptiest targets leave free what is reserved from it.
    [[nodiscard]] bool mayStart(const admission_ticket& ticket, const target_pool& pool, steady_time now) const;
    /// @brief Queued requests of a service to be tried in this order when capacity may have become free: the first one
    /// of each priority that is admitted less than it is guaranteed, then the first one of all.
    [[nodiscard]] std::vector<std::uint64_t> candidates(const std::string& service, steady_time now) const;
    [[nodiscard]] admission_figures figures(const admission_ticket& ticket, steady_time now) const;
    /// @brief Latest useful start of a request. A queued request that hasn't started by then is refused.
    [[nodiscard]] steady_time latestStart(const admission_ticket& ticket) const;
    /// @brief Promises a refused caller a time to return. @return empty: no time before its deadline is of use
    std::optional<steady_time> promiseReturn(const admission_ticket& ticket, steady_time now);

    void attemptStarted(const std::string& service, std::uint32_t priority, double tokens, steady_time now);
    void attemptEnded(const std::string& service, std::uint32_t priority, double tokens, steady_time now);

    /// @brief Removes a request whose caller has disconnected.
    void remove(std::uint64_t call) { m_queue.remove(call); }
    /// @brief Requests displaced from the full queue by one of a higher priority; to be refused.
    [[nodiscard]] std::vector<std::uint64_t> takeDisplaced() { return m_queue.takeDisplaced(); }
    /// @brief Services with queued requests.
    [[nodiscard]] std::vector<std::string> waitingServices() const;
    [[nodiscard]] const admission_queue& queue() const { return m_queue; }
    [[nodiscard]] std::vector<admission_state> states(steady_time now);
    /// @brief Time since the demand of the others was received; empty: never.
    [[nodiscard]] std::optional<milliseconds> othersAge(steady_time now) const { return m_admission.othersAge(now); }

private:
    [[nodiscard]] static admission_request requestOf(const admission_ticket& ticket);
    [[nodiscard]] queued_request entryOf(const admission_ticket& ticket, steady_time now) const;
    admission_decision queueOrRefuse(const admission_ticket& ticket, steady_time now);
    /// @brief Passes the queue's and the schedule's sums on to the reservations.
    void updateSums(const std::string& service, steady_time now);

    admission_control_options m_options;
    bool m_isActive = false;
    std::map<std::string, std::vector<std::uint32_t>> m_priorities; ///< by ranked service
    admission m_admission;
    admission_queue m_queue;
    return_schedule m_returns;
    std::size_t m_gateways = 1;
};

} // namespace buckthornrail::gateway
