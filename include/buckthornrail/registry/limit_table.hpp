/// @file
/// @brief Rate limits that targets report, exchanged between gateways and controllers.
#pragma once

#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/registry/target_record.hpp"

#include <optional>
#include <span>

namespace buckthornrail::registry {

/// The rate limit that a target reported last, as sent between processes.
struct limit_report {
    target_incarnation target;
    std::optional<double> perSecond; ///< requests per second accepted from all gateways together; empty: unlimited
    std::uint32_t ageMs = 0; ///< time since a gateway received it from the target; transit isn't counted

    bool operator==(const limit_report&) const = default;
};

/// Where a controller received a limit from.
enum class limit_source : std::uint8_t {
    Downstream, ///< a gateway with a session here, or, at the leader, a follower
    Leader,
};

struct limit_table_options {
    /// A limit that no gateway has received again for this long is dropped.
    milliseconds retention { 60000 };
    /// Minimum time between two forwards of an unchanged limit.
    milliseconds refreshInterval { 1000 };
};

/// @brief The newest known rate limit of each target; every controller has one. Soft state: a new leader receives
/// missing limits as targets report them again. Callers pass the current time.
/// @ingroup registry
class limit_table {
public:
    explicit limit_table(const limit_table_options& options = {})
        : m_options(options)
    {
    }

    /// @brief Stores reports that are newer than the stored ones. Ignores targets that aren't in the target table under
    /// the same incarnation.
    /// @param source where the reports came from
    /// @param table current targets
    void merge(std::span<const limit_report> reports, limit_source source, const target_table& table, steady_time now);
    /// @brief Incremented by every stored report.
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }
    /// @brief Reports stored after a revision.
    [[nodiscard]] std::vector<limit_report> changesSince(std::uint64_t revision, steady_time now) const;
    /// @brief Reports stored after a revision that didn't come from the leader, to be sent to it.
    [[nodiscard]] std::vector<limit_report> changesForLeader(std::uint64_t revision, steady_time now) const;
    /// @brief All targets that have a limit, for operators.
    [[nodiscard]] std::vector<limit_report> limits(steady_time now) const;

private:
    struct entry {
        std::optional<double> perSecond;
        steady_time receivedAt {};
        std::uint64_t revision = 0;
        limit_source source = limit_source::Downstream;
    };

    template <typename Predicate> std::vector<limit_report> collect(steady_time now, const Predicate& isIncluded) const;

    limit_table_options m_options;
    std::map<target_incarnation, entry> m_entries;
    std::uint64_t m_revision = 0;
};

} // namespace buckthornrail::registry
