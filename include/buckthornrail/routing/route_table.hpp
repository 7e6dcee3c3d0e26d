/// @file
/// @brief An entry's table of targets: filters those that can serve a request, estimates when each would finish and
/// selects one.
#pragma once

#include "buckthornrail/configuration/document.hpp"
#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/core/recent_set.hpp"
#include "buckthornrail/dispatch/messages.hpp"
#include "buckthornrail/membership/instance.hpp"
#include "buckthornrail/routing/selection_strategy.hpp"

#include <memory>
#include <set>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

namespace buckthornrail::routing {

/// @brief Options of the route table.
struct route_options {
    strategy_kind strategy = strategy_kind::FinishEstimate;
    std::uint32_t breakerThreshold = 3; ///< consecutive failures that open a target's circuit breaker
    milliseconds breakerOpenPeriod { 2000 }; ///< time before the first trial request; doubled after each failed trial
    milliseconds reportLifetime { 3000 }; ///< older load reports are ignored
    double smoothing = 0.2; ///< weight of a new sample in the exponential moving average
    std::string failureDomain; ///< failure domain of this entry
};

/// @brief What a request requires of a target.
struct route_query {
    std::string model; ///< empty: the request is for the plain service `service`
    std::string version; ///< of the model
    std::string service; ///< used if `model` is empty
    std::vector<configuration::share> pools; ///< share of each pool; empty: any pool
    std::uint64_t prefixHash = 0; ///< see hashPrefix(); 0: no affinity
    double work = 1; ///< expected work units: tokens of a model, or 1 for a call to a plain service
    std::set<instance_id> excluded; ///< instances not to select
    steady_time startDeadline {}; ///< targets not expected to start by then are skipped
};

/// @brief The selected target, with the details that are logged.
struct route_choice {
    instance_id instance;
    incarnation_number incarnation = 0;
    std::size_t candidates = 0; ///< number of candidates it was selected from
    double estimateMs = 0; ///< expected time until the response is complete
    std::string_view reason; ///< as given by the selection strategy
};

/// @brief Selects targets for an entry's requests, from the instance records, load reports and the entry's own results.
/// @ingroup routing
class route_table {
public:
    /// @param seed of the random generator
    route_table(route_options options, std::uint64_t seed);

    /// @brief Adds or updates an instance. Records other than sidecars' are ignored; a state of Left or Lost removes
    /// the instance. A new incarnation starts without statistics.
    void update(const membership::instance_record& record);
    /// @brief Removes an instance and its statistics.
    void remove(const instance_id& id);

    /// @brief Selects a target for a request.
    /// @return NoTarget if no target is eligible, Busy if none could start before the deadline
    tl::expected<route_choice, failure> choose(const route_query& query, steady_time now);

    /// @brief Whether some target can serve the request alone, without a chain of stages.
    [[nodiscard]] bool hasUnsplitTarget(const route_query& query, steady_time now) const;

    /// @brief Ready targets that hold a layer range of the model, as candidates for a chain.
    [[nodiscard]] std::vector<execution::stage_candidate> stageCandidates(
        const route_query& query, steady_time now) const;

    /// @brief Records that an attempt was offered to a target; while its breaker is open, this is the trial request.
    void attemptOffered(const instance_id& id);
    /// @brief Records the end of an attempt that did not start, or whose outcome is no evidence about the target.
    void attemptReleased(const instance_id& id);
    /// @brief Records a successful attempt; closes the breaker.
    /// @param elapsedMs time from start to end of the attempt
    /// @param work work units done; 0: no sample for the moving average
    void attemptSucceeded(const instance_id& id, double elapsedMs, double work);
    /// @brief Records an attempt that failed at the target; opens the breaker after enough consecutive failures.
    void attemptFailed(const instance_id& id, steady_time now);
    /// @brief Updates a target's load and slots from its report.
    void applyLoadReport(const dispatch::load_report& report, steady_time now);

    /// @return record of the instance, or nullptr if it is not in the table
    [[nodiscard]] const membership::instance_record* find(const instance_id& id) const;
    [[nodiscard]] std::size_t size() const { return m_targets.size(); }
    /// @return all instances in the table, in no particular order
    [[nodiscard]] std::vector<instance_id> ids() const;
    /// @brief Versions of a model that at least one ready target holds.
    [[nodiscard]] std::set<std::string> readyVersions(const std::string& model) const;

private:
    struct target_state {
        membership::instance_record record;
        std::uint32_t ownInFlight = 0; ///< attempts of this entry
        std::uint32_t otherEntriesInFlight = 0; ///< by the last load report, minus ownInFlight
        steady_time reportDeadline {}; ///< the load report is ignored from then on
        double msPerUnit = 0; ///< moving average of the time per work unit; 0: no sample yet
        std::uint32_t consecutiveFailures = 0;
        steady_time breakerOpenUntil {};
        bool isTrialInFlight = false; ///< the breaker is half-open: its one trial request is in flight
        std::uint64_t identityHash = 0;
    };

    /// True if the breaker is closed, or its open period is over and no trial request is in flight.
    [[nodiscard]] bool breakerAllows(const target_state& target, steady_time now) const;
    /// Estimates wait and finish time of a query at a target; fallbackMsPerUnit applies to a target without a sample.
    [[nodiscard]] candidate estimate(
        const target_state& target, const route_query& query, double fallbackMsPerUnit, steady_time now) const;
    /// All targets of the query's model or service, whether ready or not.
    [[nodiscard]] const std::vector<target_state*>& allTargetsFor(const route_query& query) const;
    /// Targets that are ready, match the query alone and whose breaker allows a request.
    [[nodiscard]] std::vector<target_state*> eligibleTargets(const route_query& query, steady_time now) const;
    /// Draws a pool by the shares of the query and removes the targets of all others.
    void restrictToPool(std::vector<target_state*>& targets, const route_query& query);
    void removeFromIndex(const target_state& target);
    target_state* findState(const instance_id& id);

    route_options m_options;
    std::mt19937_64 m_random;
    std::unique_ptr<selection_strategy> m_strategy;
    recent_set<std::uint64_t> m_recentPrefixes; ///< hashes of recently seen prompt prefixes
    std::unordered_map<instance_id, std::unique_ptr<target_state>> m_targets;
    std::unordered_map<std::string, std::vector<target_state*>> m_byModel;
    std::unordered_map<std::string, std::vector<target_state*>> m_byService;
};

/// @brief Hash of a workspace and the first bytes of a prompt, for affinity.
/// @return never 0
std::uint64_t hashPrefix(const std::string& workspace, const std::string& prompt);

/// @brief Maps a random number to the name of a share, in proportion to the percentages.
/// @param draw uniform in [0, sum of the percentages)
/// @return nothing if `draw` is not below the sum, or the list is empty
std::optional<std::string> drawShare(const std::vector<configuration::share>& shares, std::uint32_t draw);

} // namespace buckthornrail::routing
