/// @file
/// @brief Stand-in targets that speak the platform's protocol: engines that hold layers, and plain services, both with
/// fault injection.
#pragma once

#include "buckthornrail/net/tcp.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace test_support {

/// How a target breaks a response off. In a stream, half an event precedes the end.
enum class response_cut : std::uint8_t {
    Reset, ///< it resets the connection
    Close, ///< it closes the connection in order, without the rest that the framing requires
    ProperEnd, ///< it ends a stream as its framing requires. A response that isn't a stream is closed early.
};

/// Faults that a target injects until they are replaced. Rates are probabilities from 0 to 1, drawn for each request.
struct target_faults {
    double failureRate = 0; ///< the response has status 500
    double truncationRate = 0; ///< the response is broken off, see `cut`
    double wrongIdRate = 0; ///< the response carries another attempt's id
    double refusalRate = 0; ///< the request is refused with status 503, and not executed
    int slowdownFactor = 1; ///< multiplies the time between events
    response_cut cut = response_cut::Reset;
    /// The response states neither a length nor chunks and ends with its connection. Such a response that isn't a
    /// stream is broken off by a reset only: an orderly close would end it.
    double unframedRate = 0;
    double extraBytesRate = 0; ///< bytes that are no response follow a complete one, where its framing tells
};

/// One execution of a request, as recorded by the target.
struct fleet_run {
    std::string requestId;
    std::string target;
    std::string path;
    std::string workspace;
    bool isComplete = false; ///< a successful response was sent to its end
    std::string priority; ///< as the gateway sent it; empty: none
};

/// Arrival of a request at the first target of its chain.
struct fleet_arrival {
    std::string requestId;
    std::string target;
    std::chrono::steady_clock::time_point arrivedAt;
    std::vector<std::string> promptParts; ///< ids of the parts of its prompt, in order
};

/// A target's crash, caused by a request whose path contains "/crash", or by a part of its prompt.
struct fleet_crash {
    std::string requestId;
    std::string path;
    std::string target;
    std::string promptPart; ///< that caused the crash; empty: the request as a whole did
    std::chrono::steady_clock::time_point crashedAt;
};

/// A part of prompts that crashes each target that begins to respond to a request with it.
struct crashing_part {
    std::string id;
    /// Whether the last member of the request's path crashes, rather than the first.
    bool crashesLastMember = false;
};

/// A response that its target never ends, as its connection ended.
struct endless_end {
    std::string requestId;
    std::string kind;
    std::size_t sentBytes = 0;
    std::chrono::milliseconds lasted { 0 };
};

/// @brief Runs all targets on one thread. Member functions may be called from any other thread.
class stand_in_fleet {
public:
    /// @param controllerAddresses where the targets send their heartbeats, in turn
    explicit stand_in_fleet(std::vector<std::string> controllerAddresses);
    stand_in_fleet(const stand_in_fleet&) = delete;
    stand_in_fleet& operator=(const stand_in_fleet&) = delete;
    ~stand_in_fleet();

    /// @brief Replaces the addresses that the targets send their heartbeats to.
    void setControllers(std::vector<std::string> addresses);
    /// @brief Starts a target. @param accelerator empty for a plain service @return its index
    std::size_t add(const std::string& service, const std::string& domain, const std::string& accelerator);
    /// @brief Simulates the death of the process: connections are reset and nothing listens.
    void kill(std::size_t target);
    /// @brief Starts a new incarnation at the same address, with no layers loaded.
    void restart(std::size_t target);
    /// @brief Starts a new incarnation at another address, with no layers loaded.
    void restartElsewhere(std::size_t target);
    /// @brief From its next start on, each target keeps its id and announces when each incarnation started.
    void keepIds();
    /// @return the body of the announcement that a target would send now, JSON
    [[nodiscard]] std::string announcementOf(std::size_t target) const;
    /// @brief While unresponsive, a target sends neither responses nor heartbeats, but keeps its connections open.
    void setUnresponsive(std::size_t target, bool unresponsive);
    /// @brief Announces that a target is draining; it refuses new requests from then on.
    void drain(std::size_t target);
    /// @brief Whether a target sends heartbeats. It serves requests either way.
    void setAnnouncing(std::size_t target, bool announces);
    [[nodiscard]] std::string idOf(std::size_t target) const;
    void setFaults(std::size_t target, const target_faults& faults);
    /// @brief While set, a target refuses all requests, reports and orders, with this time as Retry-After.
    void setRetryAfter(std::size_t target, std::optional<std::chrono::milliseconds> retryAfter);
    /// @brief Whether a target's responses carry Server-Leaving. It still announces itself as ready, and serves.
    void setReportsLeaving(std::size_t target, bool reports);
    /// @brief Sets the limit in requests per second that a target's responses carry as Server-Limit. It isn't enforced.
    void setLimit(std::size_t target, std::optional<double> perSecond);

    [[nodiscard]] std::vector<fleet_run> runs() const;
    /// @brief Responses without an end whose connections have ended. A target sends one to a request whose path has
    /// "/endless-KIND", see endless_kinds.hpp, and few bytes a second if it also has "/slow".
    [[nodiscard]] std::vector<endless_end> endlessEnds() const;
    /// @brief Sets the parts of prompts that crash the targets that begin to respond to a request with them.
    void setCrashingParts(std::vector<crashing_part> parts);
    /// @brief Crashes so far, in order. A request whose path contains "/crash" crashes its target 100 ms after it has
    /// started there. The target restarts 600 ms later, with no layers loaded.
    [[nodiscard]] std::vector<fleet_crash> crashes() const;
    /// @return the attempt id of each request that arrived at a target, including refused requests except those meant
    /// for another instance
    [[nodiscard]] std::vector<std::string> arrivals() const;
    /// @brief The same arrivals, with targets and times.
    [[nodiscard]] std::vector<fleet_arrival> allArrivals() const;
    /// @brief The same arrivals for a target under its current id.
    [[nodiscard]] std::vector<fleet_arrival> arrivalsAt(std::size_t target) const;
    /// @return when report requests and orders arrived at a target
    [[nodiscard]] std::vector<std::chrono::steady_clock::time_point> controlCallsAt(std::size_t target) const;
    /// @return when a target first refused something after the last call of setRetryAfter(); empty: it hasn't yet
    [[nodiscard]] std::optional<std::chrono::steady_clock::time_point> firstRefusalAt(std::size_t target) const;
    /// @brief Whether the running engines of a failure domain together hold all layers, without a gap.
    [[nodiscard]] bool hasChain(const std::string& domain) const;
    /// @brief Whether a controller has acknowledged an announcement of a target as draining.
    [[nodiscard]] bool isDrainAcknowledged(std::size_t target) const;
    /// @return the body of a plain service's response
    static std::string plainBody(const std::string& path);
    /// @return an event of an engine's stream as sent, with its id and data
    static std::string eventBytes(const std::string& path, std::uint64_t id);

    static constexpr std::uint32_t layers = 16;

    struct implementation; ///< public for target_session

private:
    std::unique_ptr<implementation> m_implementation;
};

} // namespace test_support
