/// @file
/// @brief Decides how much of a service's capacity a request leaves free for requests of higher priorities.
#pragma once

#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/gateway/rate_average.hpp"
#include "buckthornrail/registry/demand_report.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornrail::gateway {
struct admission_options {
    double maxReservedShare = 0.5; ///< of the capacity; limits what a false report of demand can reserve
    /// Share of its requested tokens that a priority is admitted without regard to reservations. A quarter over 2 s is
    /// required of all gateways together; each counts only its own few requests, so that their sum fluctuates.
    double guaranteedShare = 0.35;
    /// Maximum share of the capacity that is left free for returning requests of the same priority. The requirement to
    /// use 0.95 of the capacity while a request waits allows no more.
    double maxReturningShare = 0.05;
    double averageSeconds = 1; ///< time constant of the offered and released rates
    double residenceAverageSeconds
        = 5; ///< time constant of mean residence times, which change with the kind of requests
    milliseconds othersTtl { 1000 }; ///< older figures of the other gateways are not used
};

struct admission_request {
    std::string_view service;
    std::uint32_t priority = 0; ///< 0 is the highest
    double tokens = 0; ///< prompt tokens plus expected output tokens
    bool isReturning = false; ///< refused before
};

/// One priority of a ranked service for operators. Tokens are those of all gateways.
struct admission_state {
    std::string service;
    std::uint32_t priority = 0;
    double capacity = 0; ///< tokens of the whole service
    double offeredTokensPerSecond = 0;
    double runningTokens = 0;
    double waitingTokens = 0;
    double promisedTokens = 0;
    double dueTokens = 0;
    double reservedShare = 0; ///< of the capacity, for a new request of this priority; 0 applies while it is guaranteed
    double ownRequestedTokens = 0; ///< of this gateway within the last 2 s
    double ownAdmittedTokens = 0; ///< of this gateway within the last 2 s
};

/// @brief Counts the demand for ranked services and computes the capacity reserved for higher priorities.
///
/// Does no I/O; callers pass the time in. Attempts are counted for every service, so that one that started before its
/// service was ranked, or ends after it no longer is, leaves the sums correct.
/// @ingroup gateway
class admission {
public:
    explicit admission(const admission_options& options = {})
        : m_options(options)
    {
    }

    /// @brief Replaces the ranked services. Counts of services that stay ranked are kept.
    /// @param prioritiesByService priorities of each service's requests
    void setRankedServices(
        const std::map<std::string, std::vector<std::uint32_t>>& prioritiesByService, steady_time now);
    [[nodiscard]] bool isRanked(std::string_view service) const;
    /// @brief Replaces the sums of all other gateways.
    void setOthers(const registry::demand_report& others, steady_time now);
    /// @return age of the other gateways' sums; none before the first
    [[nodiscard]] std::optional<milliseconds> othersAge(steady_time now) const;
    /// @param tokens key-value memory of the whole service, for all gateways; 0: unknown, nothing is reserved
    void setCapacity(std::string_view service, double tokens);

    /// @brief Counts a request of a ranked service, once, before the decision.
    void countArrival(const admission_request& request, steady_time now);
    /// @brief Counts a request as admitted, at most once.
    void countAdmission(const admission_request& request, steady_time now);
    void attemptStarted(std::string_view service, std::uint32_t priority, double tokens, steady_time now);
    /// @brief Counts an attempt as ended. @param priority,tokens the same as when it started, also if the document
    /// has changed since
    void attemptEnded(std::string_view service, std::uint32_t priority, double tokens, steady_time now);
    /// @param tokens of the requests queued at this gateway
    void setWaiting(std::string_view service, std::uint32_t priority, double tokens);
    /// @param tokens of requests refused by this gateway whose return time has not passed
    /// @param dueTokens of those whose return time passed within the last 500 ms
    void setPromised(std::string_view service, std::uint32_t priority, double tokens, double dueTokens);

    /// @return share of the capacity that the request must leave free, 0 to 1
    [[nodiscard]] double reservedShare(const admission_request& request, steady_time now) const;
    /// @return tokens of attempts that end, per second, of all gateways
    [[nodiscard]] double releaseRate(std::string_view service, steady_time now) const;
    /// @return tokens that are expected to be released per second: at least those of the open attempts over the mean
    /// time that they are open, also while few attempts have ended
    [[nodiscard]] double expectedReleaseRate(std::string_view service, steady_time now) const;
    /// @return whether the request's priority has been admitted less than it is guaranteed, so that nothing is reserved
    /// from it
    [[nodiscard]] bool isGuaranteed(const admission_request& request, steady_time now) const;
    /// @return release rate minus the offered rates of this and all higher priorities; may be negative
    [[nodiscard]] double spareRate(std::string_view service, std::uint32_t priority, steady_time now) const;
    /// @return waiting and due tokens of all gateways at higher priorities, plus the waiting tokens of the request's
    /// own priority (all of them, and the request's own once it is queued), plus the due ones if it is not returning
    [[nodiscard]] double waitingAhead(const admission_request& request, steady_time now) const;
    /// @return waiting, due and promised tokens of all gateways at this and higher priorities
    [[nodiscard]] double promisedAhead(const admission_request& request, steady_time now) const;
    /// @return demand at this gateway
    [[nodiscard]] registry::demand_report report(steady_time now) const;
    /// @return one row for each priority of each ranked service
    [[nodiscard]] std::vector<admission_state> states(steady_time now) const;

private:
    /// Demand of one priority in tokens.
    struct rank_sums {
        double offered = 0; ///< per second
        double running = 0;
        double waiting = 0;
        double promised = 0;
        double due = 0;
    };
    /// One priority of a service at this gateway.
    struct rank_counts {
        explicit rank_counts(const admission_options& options)
            : offered(options.averageSeconds)
            , residence(options.residenceAverageSeconds)
        {
        }
        rate_average offered; ///< tokens of first-time requests
        /// Mean residence time: running to offered tokens of all gateways while nobody is refused or waits. Priorities
        /// differ in it; with the mean of the service, those with short responses always seem to need more.
        ratio_average residence;
        double running = 0;
        std::size_t attempts = 0; ///< open attempts; without any, running is set to exactly 0
        double waiting = 0;
        double promised = 0;
        double due = 0;
        /// Averages of tokens and squared tokens of a request. Their ratio is the mean size by which the tokens of
        /// randomly arriving requests fluctuate.
        double meanTokens = 0;
        double meanSquare = 0;
        two_second_sum requested;
        two_second_sum admitted;
        double guaranteeCredit
            = 0; ///< tokens that may be admitted without regard to reservations; one request is while > 0
    };
    struct service_counts {
        explicit service_counts(const admission_options& options);
        /// @return whether nothing of the service has to be kept
        [[nodiscard]] bool isUnused() const;

        bool isRanked = false;
        std::vector<std::uint32_t> priorities; ///< ascending
        double capacity = 0;
        std::vector<rank_counts> ranks; ///< by priority
        rate_average released;
        std::array<rank_sums, registry::maxPrioritiesInDemand> others {}; ///< sums of the other gateways
        double othersReleased = 0; ///< tokens per second
    };

    [[nodiscard]] static std::size_t rankOf(std::uint32_t priority);
    [[nodiscard]] const service_counts* find(std::string_view service) const;
    [[nodiscard]] service_counts& findOrAdd(std::string_view service);
    [[nodiscard]] bool areOthersCurrent(steady_time now) const { return m_othersAt && now < m_othersExpireAt; }
    /// @return sums over all gateways
    [[nodiscard]] rank_sums total(const service_counts& service, std::size_t rank, steady_time now) const;
    [[nodiscard]] double totalReleased(const service_counts& service, steady_time now) const;
    /// @brief Updates the mean residence times with the present sums.
    void updateResidence(service_counts& service, steady_time now) const;
    [[nodiscard]] double residenceSeconds(const service_counts& service, std::size_t rank, steady_time now) const;
    /// @return tokens that a priority needs beyond what it holds
    /// @param defaultTokens size of a request where this gateway has seen none of that priority
    [[nodiscard]] double missingTokens(
        const service_counts& service, std::size_t rank, double defaultTokens, steady_time now) const;
    /// @return reserved share without regard to what the priority itself has been admitted
    [[nodiscard]] double demandedShare(
        const service_counts& service, const admission_request& request, steady_time now) const;
    /// @return whether a priority has been admitted less than it is guaranteed
    [[nodiscard]] bool isBelowGuarantee(const rank_counts& rank, steady_time now) const;
    [[nodiscard]] static registry::service_demand reportOf(
        const std::string& name, const service_counts& service, steady_time now);

    admission_options m_options;
    std::map<std::string, service_counts, std::less<>> m_services;
    std::optional<steady_time> m_othersAt; ///< when the others' sums were received
    steady_time m_othersExpireAt {};
};

} // namespace buckthornrail::gateway
