/// @file
/// @brief Stand-in targets that speak the platform's wire: layered engines and plain services, with faults to order.
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

/// Faults that a target shows until told otherwise.
struct target_faults {
    double failureRate = 0; ///< of requests answered with status 500
    double truncationRate = 0; ///< of requests whose answer breaks off
    double wrongIdRate = 0; ///< of requests answered with another request's id
    double refusalRate = 0; ///< of requests refused truthfully
    int slowdownFactor = 1; ///< times the time between events
};

/// One run of a request at a target, as the target saw it.
struct fleet_run {
    std::string requestId;
    std::string target;
    std::string path;
    std::string workspace;
    bool isComplete = false; ///< its answer went out to the end
};

/// A request's arrival at a target that takes it first.
struct fleet_arrival {
    std::string requestId;
    std::string target;
    std::chrono::steady_clock::time_point at;
};

/// A target's end under a request whose path holds "/crash".
struct fleet_crash {
    std::string requestId;
    std::string path;
    std::string target;
};

/// @brief Runs all targets on a thread of its own. Functions may be called from any thread.
class stand_in_fleet {
public:
    /// @param controllerAddresses addresses where targets announce themselves
    explicit stand_in_fleet(std::vector<std::string> controllerAddresses);
    stand_in_fleet(const stand_in_fleet&) = delete;
    stand_in_fleet& operator=(const stand_in_fleet&) = delete;
    ~stand_in_fleet();

    /// @brief Adds a target. @param accelerator empty for a plain service @return its number
    std::size_t add(const std::string& service, const std::string& domain, const std::string& accelerator);
    /// @brief The process is gone: connections are reset, nothing listens.
    void kill(std::size_t target);
    /// @brief A new life at the same address, with nothing loaded.
    void restart(std::size_t target);
    /// @brief The same at another address.
    void restartElsewhere(std::size_t target);
    /// @brief From its next life on a target keeps its id, and says when each life started.
    void keepIds();
    /// @brief What a target would announce now.
    [[nodiscard]] std::string announcementOf(std::size_t target) const;
    /// @brief Silent in all directions, though connections stand.
    void setUnresponsive(std::size_t target, bool unresponsive);
    /// @brief Says that it leaves, and takes nothing new from then on.
    void drain(std::size_t target);
    /// @brief Whether it announces itself any more; it serves all the same.
    void setAnnouncing(std::size_t target, bool announces);
    [[nodiscard]] std::string idOf(std::size_t target) const;
    void setFaults(std::size_t target, const target_faults& faults);
    /// @brief A target turns everything away, also questions and orders, and asks for rest for so long each time.
    void setRetryAfter(std::size_t target, std::optional<std::chrono::milliseconds> retryAfter);
    /// @brief A target says in its answers that it leaves; it announces itself as ready, and serves, all the same.
    void setReportsLeaving(std::size_t target, bool reports);
    /// @brief A target names in its answers how many requests a second it takes; it takes more all the same.
    void setLimit(std::size_t target, std::optional<double> perSecond);

    [[nodiscard]] std::vector<fleet_run> runs() const;
    /// @brief Targets that a request has ended so far, in order. A request whose path holds "/crash" ends its target
    /// soon after it has begun there; the target starts again, empty, after a while.
    [[nodiscard]] std::vector<fleet_crash> crashes() const;
    /// @brief Ids of the requests that came to targets, once for each arrival, also of those that were refused.
    [[nodiscard]] std::vector<std::string> arrivals() const;
    /// @brief The same for one target, with times.
    [[nodiscard]] std::vector<fleet_arrival> arrivalsAt(std::size_t target) const;
    /// @brief When questions and orders came to a target.
    [[nodiscard]] std::vector<std::chrono::steady_clock::time_point> controlCallsAt(std::size_t target) const;
    /// @brief When a target first turned something away since it rests; nothing: it hasn't.
    [[nodiscard]] std::optional<std::chrono::steady_clock::time_point> firstRefusalAt(std::size_t target) const;
    /// @brief Layers held by living engines of a domain, without gap from 0 to the end.
    [[nodiscard]] bool hasChain(const std::string& domain) const;
    /// @brief Targets that a controller has acknowledged as draining.
    [[nodiscard]] bool isDrainAcknowledged(std::size_t target) const;
    /// @brief Body that a plain service gives, and data of an event of a stream.
    static std::string plainBody(const std::string& path);
    static std::string eventBytes(const std::string& path, std::uint64_t id);

    static constexpr std::uint32_t layers = 16;

    struct implementation; ///< for the targets' sessions

private:
    std::unique_ptr<implementation> m_implementation;
};

} // namespace test_support
