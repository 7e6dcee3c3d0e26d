/// @file
/// @brief Requests that wait at a gateway for free capacity. Does no I/O; callers pass the time in.
#pragma once

#include "buckthornrail/core/clock.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace buckthornrail::gateway {

struct queued_request {
    std::uint64_t call = 0; ///< identifies the request
    std::string service;
    std::uint32_t priority = 0; ///< 0 is the highest
    bool isReturning = false; ///< it was refused before
    steady_time deadline {}; ///< latest useful start; the request is refused then
    steady_time enqueuedAt {};
    double tokens = 0; ///< prompt tokens plus expected output tokens
    std::size_t bytes = 0; ///< of its body
    bool operator==(const queued_request&) const = default;
};

/// Bound on one request's tokens, far above any model's context: sums stay finite, and sums of whole numbers exact.
inline constexpr double maxTokensPerRequest = 1e9;

/// @return the tokens within 0 and the bound; 0 for NaN
inline double boundedTokens(double tokens) { return std::min(std::max(0.0, tokens), maxTokensPerRequest); }

struct admission_queue_options {
    std::size_t maxRequests = 256;
    std::size_t maxBytes = std::size_t { 4 } * 1024 * 1024; ///< of the bodies of all queued requests
};

/// @brief Bounded queue of all services of a gateway. Within a service, requests are ordered by priority, returning
/// before new, earlier deadline, earlier arrival. Operations take logarithmic time.
/// @ingroup gateway
class admission_queue {
public:
    explicit admission_queue(const admission_queue_options& options = {});

    /// @brief Queues a request, or replaces the one that is queued for the same call. If the queue is full, requests of
    /// strictly lower priority are displaced: of the lowest priority first, and of one priority the last in order.
    /// @return whether the call is queued; false if it doesn't fit even without all requests of lower priorities, in
    /// which case none is displaced
    bool add(queued_request request);
    /// @return calls displaced by add() since the last call, in the order of their displacement; to be refused now
    [[nodiscard]] std::vector<std::uint64_t> takeDisplaced();
    /// @brief Removes a request that was admitted or whose caller has left; also from those to be taken as displaced.
    /// No effect if the call is unknown.
    void remove(std::uint64_t call);
    /// @brief Removes all requests whose deadline has come. @return their calls by ascending deadline
    [[nodiscard]] std::vector<std::uint64_t> takeExpired(steady_time now);

    /// @return the first request of the service in order; it stays queued until remove()
    [[nodiscard]] std::optional<queued_request> next(std::string_view service) const;
    /// @return the first request of the service in order after another, which need not be queued any more
    [[nodiscard]] std::optional<queued_request> nextAfter(
        std::string_view service, const queued_request& previous) const;
    /// @return the earliest deadline of all queued requests
    [[nodiscard]] std::optional<steady_time> nextDeadline() const;
    /// @return sum of the tokens of the queued requests of a priority
    [[nodiscard]] double waitingTokens(std::string_view service, std::uint32_t priority) const;
    [[nodiscard]] bool contains(std::uint64_t call) const { return m_byCall.contains(call); }
    [[nodiscard]] std::size_t size() const { return m_byCall.size(); }
    /// @return sum of the body sizes of all queued requests
    [[nodiscard]] std::size_t bytes() const { return m_bytes; }
    /// @return all queued requests by service name, and in order within a service
    [[nodiscard]] std::vector<queued_request> requests() const;

private:
    struct admission_order {
        bool operator()(const queued_request* left, const queued_request* right) const;
    };
    using ordered_requests = std::set<const queued_request*, admission_order>;
    struct token_sum {
        double tokens = 0;
        std::size_t requests = 0;
    };
    struct service_queue {
        ordered_requests requests;
        std::map<std::uint32_t, token_sum> waiting; ///< by priority
    };
    struct size_sum {
        std::size_t requests = 0;
        std::size_t bytes = 0;
    };

    /// @return whether one more request fits, given what is queued
    [[nodiscard]] bool fits(std::size_t requests, std::size_t bytes, const queued_request& request) const;
    /// @return whether the request fits once all requests of lower priorities are displaced
    [[nodiscard]] bool canMakeRoomFor(const queued_request& request) const;
    void insert(queued_request request);
    void erase(std::uint64_t call);

    admission_queue_options m_options;
    std::unordered_map<std::uint64_t, queued_request> m_byCall; ///< owns the requests that the sets refer to
    std::map<std::string, service_queue, std::less<>> m_services; ///< without empty ones
    ordered_requests m_ordered; ///< of all services; the last one is displaced first
    std::set<std::pair<steady_time, std::uint64_t>> m_byDeadline; ///< deadlines and calls
    std::map<std::uint32_t, size_sum> m_sizes; ///< by priority, of all services; without empty ones
    std::size_t m_bytes = 0;
    std::vector<std::uint64_t> m_displaced; ///< not taken yet
};

} // namespace buckthornrail::gateway
