/// @file
/// @brief Selects the targets of each attempt from the controllers' table and from this gateway's own observations.
#pragma once

#include "buckthornrail/gateway/attempt_history.hpp"
#include "buckthornrail/gateway/layer_path.hpp"
#include "buckthornrail/gateway/rate_limiter.hpp"
#include "buckthornrail/gateway/route_index.hpp"
#include "buckthornrail/registry/limit_table.hpp"
#include "buckthornrail/registry/load_table.hpp"

#include <array>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <utility>

namespace buckthornrail::gateway {

/// A selected target and the layers that it runs for the attempt.
struct selected_part {
    registry::target_incarnation target;
    std::string address;
    registry::layer_range layers; ///< empty for a service without layers
    std::size_t domain = 0; ///< index of its failure domain in the pool; stays valid after the pool drops the target
    bool operator==(const selected_part&) const = default;
};

/// The targets of one attempt. The request is sent to the first part.
struct selection {
    std::vector<selected_part> parts;
    double expectedPassMs = 0; ///< expected time between two events at the present load; 0: not a path over layers
    /// Whether every part has memory for its open attempts, or will have before the first event is due.
    bool hasCapacity = true;
    double memoryUse = 0; ///< highest share of a part's memory that open attempts need
    double memoryLimit = std::numeric_limits<double>::infinity(); ///< highest use with capacity; infinite: not known
    std::string summary; ///< for logs: number of usable targets and expected cost
};

/// Restrictions on a selection.
struct selection_constraints {
    std::set<registry::target_incarnation> excluded; ///< targets not to use
    std::set<registry::target_incarnation> allowedFirst; ///< targets that may be the first part; empty: any
    milliseconds eventGapTarget { 0 }; ///< longest pause between two events of a stream that is still on time; 0: none
};

/// Flow control signals of a target, read from one of its responses.
struct target_pushback {
    std::optional<double> requestsPerSecond; ///< rate limit for all gateways together; empty: the response names none
    std::string unreadable; ///< for logs: name and value of a field that can't be parsed; empty: none
    std::optional<milliseconds> retryAfter {}; ///< this gateway is to send nothing for this time; empty: not requested
    bool isLeaving = false; ///< it takes no new work and will exit soon
    bool operator==(const target_pushback&) const = default;
};

/// A target's rate limit before and after an update.
struct limit_change {
    registry::target_incarnation target;
    std::optional<double> before; ///< in requests per second; empty: no limit
    std::optional<double> after; ///< in requests per second; empty: no limit
    milliseconds beforeAge { 0 }; ///< time since the previous limit was last confirmed
    /// @brief Whether the limit differs from the previous one.
    [[nodiscard]] bool hasChanged() const { return before != after; }
};

/// A target that is rate limited, in backoff or leaving, for the operators' list.
struct restricted_target {
    registry::target_incarnation target;
    std::optional<double> perSecond; ///< rate limit for all gateways together; empty: no limit
    milliseconds limitAge { 0 }; ///< time since the limit was last confirmed
    milliseconds backoffLeft { 0 };
    bool isLeaving = false;
};

/// @brief Formats a limit for logs. @param perSecond in requests per second @return the number, or "none"
std::string text(const std::optional<double>& perSecond);

/// Latencies of a stream that are measured separately.
enum class latency_kind : std::uint8_t {
    FirstEvent, ///< prefill, including the time in queues
    NextEvent,
};
inline constexpr std::size_t latencyKindCount = 2;

/// Tokens of a request, as far as it states them.
struct request_size {
    double promptTokens = 0;
    double maxOutputTokens = 0; ///< upper bound that the caller names
};

struct pool_options {
    std::string ownDomain; ///< failure domain of this gateway
    /// How long a target that was reported as unreachable is avoided. Covers the time that controllers need to notice.
    milliseconds unreachableBackoff { 5000 };
    /// Backoff after a target refuses a request because it is full or doesn't hold the expected layers: a few steps of
    /// an engine. Doubles with each consecutive refusal, up to the maximum, which is the time within which controllers
    /// report a change.
    milliseconds initialRefusalBackoff { 100 };
    milliseconds maxRefusalBackoff { 2000 };
    /// Consecutive refusals after which a target is reported as unreachable, so that the controllers probe it.
    std::size_t refusalsUntilUnreachable = 3;
};

/// @brief Selects targets by estimated cost and keeps the state that the estimate needs. Callers pass the time in.
class target_pool {
public:
    /// @param options own domain and backoff times
    /// @param seed of the random numbers for jitter, exploration and spreading
    target_pool(pool_options options, std::uint64_t seed);

    /// @brief Replaces the table of targets. A new incarnation of a target starts without the load and the failure
    /// history of the previous one.
    /// @param records the controllers' table by target id
    /// @return addresses of incarnations that were not known before
    std::vector<std::string> update(const std::map<std::string, registry::target_record>& records);
    /// @brief Sets the performance model of a service's engines. @param engine empty: a service without layers
    void setEngine(const std::string& service, const std::optional<layered_engine>& engine);
    /// @brief Sets the number of gateways and the number of open attempts at the other ones. While the other gateways'
    /// loads by target are unknown, they are assumed to be distributed like the loads of this gateway.
    void setOtherGateways(std::size_t gateways, std::size_t openAttempts);
    /// @brief Sets the load of the other gateways by target.
    /// @param loads in the order of the target ids of the last update(); ignored if its length differs from the table's
    void setOtherGatewayLoads(const registry::target_loads& loads, steady_time now);
    /// @brief Load of this gateway by target, to be reported to the others.
    [[nodiscard]] registry::target_loads loads() const;
    [[nodiscard]] std::size_t openAttempts() const { return m_openAttempts; }

    /// @brief Selects a target, or a path over several targets for a service with layers.
    /// @return empty when no usable target, or no path that covers all layers, is left
    std::optional<selection> select(
        const std::string& service, const selection_constraints& constraints, steady_time now);

    /// @brief Adds an attempt to the load of its targets, until attemptEnded().
    void attemptStarted(const selection& selected, const request_size& size);
    /// @brief The first event has arrived: no target of the path is in prefill for this attempt any more.
    void prefillFinished(const selection& selected, const request_size& size);
    /// @param isPrefillFinished whether prefillFinished() was called for the attempt
    void attemptEnded(const selection& selected, const request_size& size, bool isPrefillFinished);

    /// @brief Records a latency of a stream over a path. Targets on paths that are slower than expected, relative to
    /// all other paths, cost more for a while.
    void recordLatency(const selection& selected, latency_kind kind, double ms, steady_time now);
    /// @brief The target responded. @param responseMs time to the response, used for targets without layers
    void succeeded(const registry::target_incarnation& id, double responseMs);
    /// @brief The target failed an attempt.
    void failed(const registry::target_incarnation& id);
    /// @brief Records the flow control signals of a response.
    /// @param absenceMeansNone whether a response without a limit means that there is none
    /// @param sentAt when the request that it responds to was sent
    /// @return the change of the target's limit, if it changed
    std::optional<limit_change> recordPushback(const registry::target_incarnation& id, const target_pushback& pushback,
        bool absenceMeansNone, steady_time sentAt, steady_time now);
    /// @brief Merges limits that other gateways received; the most recently confirmed one wins.
    /// @return the limits that changed
    std::vector<limit_change> mergeRemoteLimits(std::span<const registry::limit_report> reports, steady_time now);
    /// @brief Limits received here since the last call, to be sent to the other gateways.
    /// @param all also those that were already sent
    std::vector<registry::limit_report> takeLimitReports(bool all, steady_time now);
    /// @brief Sets this gateway's share of the rate limits.
    void setShare(const gateway_share& share, steady_time now);
    /// @brief Whether the target's limit, backoff and leaving state allow sending now. Must be checked before sending
    /// anything that wasn't selected here, such as probes.
    [[nodiscard]] bool maySend(const registry::target_incarnation& id, steady_time now) const;
    /// @brief Counts a request or a probe against the target's rate limit.
    void recordSent(const registry::target_incarnation& id, steady_time now);
    /// @brief Earliest time at which a target of the service may be sent a request, plus random jitter so that refused
    /// callers don't return at the same moment.
    /// @return empty unless limits or backoffs block all targets
    std::optional<steady_time> earliestSendAt(const std::string& service, steady_time now);
    /// @brief Targets that announced in a response that they are leaving while the controllers' table shows them open.
    [[nodiscard]] std::vector<registry::target_incarnation> unreportedLeaving() const;
    /// @brief Targets that are rate limited, in backoff or leaving.
    [[nodiscard]] std::vector<restricted_target> restrictedTargets(steady_time now) const;
    /// @brief Number of rate-limited targets.
    [[nodiscard]] std::size_t limitedCount(steady_time now) const;
    /// @brief The target, or another target on its behalf, refused a request. It is avoided for the refusal backoff.
    void refused(const registry::target_incarnation& id, steady_time now);
    /// @brief The target is dead or cut off. It is avoided for a while and returned by takeUnreachable().
    void markUnreachable(const registry::target_incarnation& id, steady_time now);
    /// @brief Targets that became unreachable, or refused too often, since the last call; to be reported to the
    /// controllers.
    std::vector<registry::target_incarnation> takeUnreachable() { return std::exchange(m_newlyUnreachable, {}); }
    /// @brief The target at an address; a default-constructed id when there is none.
    [[nodiscard]] registry::target_incarnation idAt(const std::string& address) const;
    /// @brief The address refuses connections: nothing listens there, or a partition refuses on its behalf.
    void markRefusing(const std::string& address);
    /// @brief The address doesn't respond: its machine is down or cut off, or the probe was lost twice.
    void markUnresponsive(const std::string& address);
    /// @brief The address accepts connections: what was marked before no longer holds.
    void markReachable(const std::string& address);
    /// @brief What is known now about a target that may have left the table.
    /// @param address "IP:port" that the target had
    [[nodiscard]] target_evidence evidenceOf(const registry::target_incarnation& id, const std::string& address) const;
    /// @brief Whether a target has signed off with the controllers, or is unknown.
    [[nodiscard]] bool isGone(const registry::target_incarnation& id) const;
    /// @brief Whether a target has announced that it leaves, or has signed off.
    [[nodiscard]] bool isLeaving(const registry::target_incarnation& id) const;
    /// @brief Whether a later incarnation of the target is known, so that the given one has ended.
    [[nodiscard]] bool wasReplaced(const registry::target_incarnation& id) const;
    /// @brief Whether a target that is still running no longer holds some of the given layers.
    [[nodiscard]] bool hasReleased(const registry::target_incarnation& id, const registry::layer_range& layers) const;
    /// @brief Number of targets of a service in the state Ready.
    [[nodiscard]] std::size_t readyCount(const std::string& service) const;
    /// @brief Tokens that a request is expected to hold in memory: its prompt and its expected output.
    [[nodiscard]] double expectedTokens(const std::string& service, const request_size& size) const;
    /// @brief Lower bound of selection::memoryUse over all paths of a service, without the cost of a path search.
    /// @return infinite if some layer has no target; 0 for a service without an engine
    [[nodiscard]] double lowestMemoryUse(const std::string& service) const;
    /// @brief Memory use up to which a target accepts attempts; infinite while the others' loads are unknown or
    /// outdated.
    [[nodiscard]] double memoryLimit(steady_time now) const;
    /// @brief Tokens that a service's targets have memory for over all layers.
    [[nodiscard]] double memoryTokens(const std::string& service) const;

private:
    /// The rate limit that a target named last.
    struct advertised_limit {
        std::optional<rate_limiter> limiter; ///< empty: no limit
        steady_time confirmedAt {}; ///< last confirmation by any gateway
        bool isUnannounced = false; ///< received here and not yet sent to the other gateways
        steady_time nextAnnouncementAt {}; ///< an unchanged limit isn't announced again before
        /// Consecutive responses without a limit to requests that were sent after the last confirmation.
        std::uint32_t responsesWithoutLimit = 0;
    };

    struct pool_target {
        registry::target_record record;
        std::optional<advertised_limit> limit;
        steady_time backoffUntil {}; ///< from the target's Retry-After
        bool announcedLeaving = false; ///< in a response; the controllers may not know it yet
        std::size_t domain = 0;
        double sequences = 0; ///< attempts of this gateway in flight
        double tokenLayers = 0; ///< key-value memory that they need, in tokens times layers
        double prefillTokenLayers = 0; ///< prompts of attempts without a first event yet, in the same unit
        double otherGatewaysTokenLayers = 0; ///< of the other gateways' attempts, from their last report
        double tokenLayersAtReport = 0; ///< value of tokenLayers at the time of that report
        double responseMs = 0; ///< moving average; 0: not known
        double failureShare = 0; ///< moving average of the share of failed attempts
        std::size_t refusalsInRow = 0;
        /// Latency of paths over the target, relative to the typical one.
        std::array<double, latencyKindCount> slowdown { 1, 1 };
        std::array<steady_time, latencyKindCount> slowdownSince {}; ///< start of its decay
        steady_time avoidUntil {}; ///< backoff of this gateway after refusals or a loss of contact
        double stepFactor = 1;
        double memoryTokenLayers = 0; ///< memory for requests beside the weights of the layers held now
        double prefillMsPerTokenLayer = 0;
        bool refusesConnections = false; ///< as of the last contact; resumed heartbeats end it
        bool isUnresponsive = false; ///< as of the last contact; resumed heartbeats end it
    };

    /// Time of one engine pass for a stream.
    struct pass_time {
        /// Independent of the number of layers run: the other sequences' part and the mean wait of half a pass.
        double sharedMs = 0;
        double perLayerMs = 0;
    };

    /// Weights of a path search, besides penalties and domain crossings.
    struct path_weights {
        double passFactor = 1; ///< multiplies the time of an engine pass, which generates several tokens
        double memoryThreshold = 0; ///< memory use above which a target costs more, as a share of its memory
    };

    std::optional<selection> selectPath(const std::string& service, const layered_engine& engine,
        const selection_constraints& constraints, steady_time now);
    std::optional<selection> selectTarget(
        const std::string& service, const selection_constraints& constraints, steady_time now);
    std::optional<selection> findSelection(std::span<pool_target* const> targets, const layered_engine& engine,
        const selection_constraints& constraints, const path_weights& weights, steady_time now);
    /// @brief Whether a target takes new work according to the controllers.
    [[nodiscard]] static bool acceptsWork(const registry::target_record& record);
    /// @return whether a target that started later is known at an address
    [[nodiscard]] bool isAddressTaken(const registry::target_incarnation& from, const std::string& address) const;
    [[nodiscard]] std::vector<pool_target*> usableTargets(
        const std::string& service, const std::set<registry::target_incarnation>& excluded);
    /// @brief Ratio of the load of all gateways to the load of this one.
    [[nodiscard]] double loadScale() const;
    /// @brief Estimated load of all gateways at a target, in tokens times layers.
    [[nodiscard]] double totalTokenLayers(const pool_target& target) const;
    /// @brief Mean number of gateways in a domain. Gateways of one domain see the same conditions and tend to make the
    /// same choices, so this gateway's recent changes are multiplied by it.
    [[nodiscard]] double gatewaysPerDomain() const;
    /// @brief Memory that all open attempts need at a target, as a share of what it has.
    [[nodiscard]] double memoryUse(const pool_target& target) const;
    [[nodiscard]] double congestionMs(const pool_target& target, double memoryThreshold) const;
    limit_change setLimit(const registry::target_incarnation& id, pool_target& target, std::optional<double> perSecond,
        steady_time confirmedAt, steady_time now);
    [[nodiscard]] static std::optional<double> perSecondOf(const advertised_limit& limit);
    [[nodiscard]] static bool isLimited(const pool_target& target, steady_time now);
    [[nodiscard]] static bool acceptsNow(const pool_target& target, steady_time now);
    [[nodiscard]] static double limitPenaltyMs(const pool_target& target, steady_time now);
    /// @brief For logs: limit and age of the limit of a path's first target; empty without a limit.
    [[nodiscard]] static std::string describeLimit(const pool_target& first, steady_time now);
    void recordSelection(steady_time now);
    /// @brief Cost of each crossing between domains on a path.
    [[nodiscard]] double crossingMs(const layered_engine& engine) const;
    /// @brief Time until the queued prompts have crossed, at [from * domains + to].
    [[nodiscard]] std::vector<double> linkWaits(const layered_engine& engine) const;
    void addPrefill(const selection& selected, double promptTokens);
    /// @brief Cost of a target's failures, lost heartbeats and backoff.
    [[nodiscard]] static double failurePenaltyMs(const pool_target& target, steady_time now);
    /// @brief Time of a stream at a target for each pass of its engine.
    [[nodiscard]] pass_time passTime(const pool_target& target, const layered_engine& engine) const;
    [[nodiscard]] static double slowdownOf(const pool_target& target, steady_time now);
    [[nodiscard]] static double slowdownOf(const pool_target& target, std::size_t kind, steady_time now);
    [[nodiscard]] std::size_t domainIndex(const std::string& name);
    void applyEngineModel(pool_target& target) const;

    pool_options m_options;
    std::mt19937_64 m_random;
    std::size_t m_openAttempts = 0;
    double m_othersOpenAttempts = 0;
    double m_gateways = 1;
    double m_selectionsPerSecond = 0; ///< of paths, by this gateway; moving average
    steady_time m_lastSelectionAt {};
    bool m_hasOtherGatewayLoads = false;
    steady_time m_otherGatewayLoadsAt {};
    /// Prompt tokens of attempts in prefill that cross between domains, by source and destination domain.
    std::map<std::pair<std::size_t, std::size_t>, double> m_prefillCrossings;
    std::map<registry::target_incarnation, pool_target> m_targets;
    std::map<std::string, layered_engine> m_engines;
    gateway_share m_share;
    /// Typical ratio of measured to expected latency on paths without trouble; 0: not known.
    std::array<double, latencyKindCount> m_typicalLatencyRatio {};
    std::vector<registry::target_incarnation> m_newlyUnreachable;
    std::vector<std::string> m_domains; ///< the gateway's own domain is the first
};

} // namespace buckthornrail::gateway
