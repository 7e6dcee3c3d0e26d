/// @file
/// @brief An entry's table of targets: who could serve a request, how soon each would finish, and which one to try.
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

struct route_options {
    strategy_kind strategy = strategy_kind::FinishEstimate;
    std::uint32_t breakerThreshold = 3; ///< failures in a row that open a target's breaker
    milliseconds breakerOpenPeriod { 2000 }; ///< then one request tries it again; doubled after each failed trial
    milliseconds reportLifetime { 3000 }; ///< an older load report counts for nothing
    double smoothing = 0.2; ///< weight of a new sample in a moving average
    std::string failureDomain; ///< of this entry
};

/// What a request needs.
struct route_query {
    std::string model; ///< empty: a plain service is meant
    std::string version;
    std::string service;
    std::vector<configuration::share> pools; ///< empty: any
    std::uint64_t prefixHash = 0; ///< of the prompt's beginning; 0: no affinity
    double work = 1; ///< expected units: tokens, or 1 for a call
    std::set<instance_id> excluded;
    steady_time startDeadline {}; ///< targets that could not start by then are passed over
};

/// The decision, with what a log line needs.
struct route_choice {
    instance_id instance;
    incarnation_number incarnation = 0;
    std::size_t candidates = 0;
    double estimateMs = 0;
    std::string_view reason;
};

/// @ingroup routing
class route_table {
public:
    route_table(route_options options, std::uint64_t seed);

    /// @brief Takes an instance's record; those that aren't sidecars or take no work are left out of the candidates.
    void update(const membership::instance_record& record);
    void remove(const instance_id& id);

    /// @return NoTarget or Busy when there is none.
    tl::expected<route_choice, failure> choose(const route_query& query, steady_time now);

    /// @brief True when some target could take the request by itself.
    [[nodiscard]] bool hasUnsplitTarget(const route_query& query, steady_time now) const;

    /// @brief Ready targets that hold a range of the model's layers, for building chains.
    [[nodiscard]] std::vector<execution::stage_candidate> stageCandidates(
        const route_query& query, steady_time now) const;

    void attemptOffered(const instance_id& id);
    /// @brief An attempt ended without having started, or its outcome says nothing of the target.
    void attemptReleased(const instance_id& id);
    /// @brief An attempt was served. @param elapsedMs from start to end
    void attemptSucceeded(const instance_id& id, double elapsedMs, double work);
    /// @brief An attempt failed at the target.
    void attemptFailed(const instance_id& id, steady_time now);
    void applyLoadReport(const dispatch::load_report& report, steady_time now);

    [[nodiscard]] const membership::instance_record* find(const instance_id& id) const;
    [[nodiscard]] std::size_t size() const { return m_targets.size(); }
    [[nodiscard]] std::vector<instance_id> ids() const;
    /// @brief Versions of a model that at least one ready target serves.
    [[nodiscard]] std::set<std::string> readyVersions(const std::string& model) const;

private:
    struct target_state {
        membership::instance_record record;
        std::uint32_t ownInFlight = 0;
        std::uint32_t otherEntriesInFlight = 0;
        steady_time reportDeadline {};
        double msPerUnit = 0; ///< moving average of the time a unit of work takes; 0: no sample
        std::uint32_t consecutiveFailures = 0;
        steady_time breakerOpenUntil {};
        bool isProbing = false; ///< the breaker's one trial request is out
        std::uint64_t identityHash = 0;
    };

    [[nodiscard]] bool breakerAllows(const target_state& target, steady_time now) const;
    [[nodiscard]] candidate estimate(
        const target_state& target, const route_query& query, double fallbackMsPerUnit, steady_time now) const;
    /// All targets of the query's model or service, ready or not.
    [[nodiscard]] const std::vector<target_state*>& allTargetsFor(const route_query& query) const;
    [[nodiscard]] std::vector<target_state*> eligibleTargets(const route_query& query, steady_time now) const;
    void restrictToPool(std::vector<target_state*>& targets, const route_query& query);
    void removeFromIndex(const target_state& target);
    target_state* findState(const instance_id& id);

    route_options m_options;
    std::mt19937_64 m_random;
    std::unique_ptr<selection_strategy> m_strategy;
    recent_set<std::uint64_t> m_recentPrefixes; ///< hashes of prompt beginnings that came lately
    std::unordered_map<instance_id, std::unique_ptr<target_state>> m_targets;
    std::unordered_map<std::string, std::vector<target_state*>> m_byModel;
    std::unordered_map<std::string, std::vector<target_state*>> m_byService;
};

/// @brief Hash of a prompt's beginning, for affinity.
std::uint64_t hashPrefix(const std::string& workspace, const std::string& prompt);

/// @brief Draws a share's name by percent. @param draw uniform in [0, 100) @return nothing for an empty list
std::optional<std::string> drawShare(const std::vector<configuration::share>& shares, std::uint32_t draw);

} // namespace buckthornrail::routing
