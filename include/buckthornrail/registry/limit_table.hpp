/// @file
/// @brief Rate limits that targets have named, as gateways and controllers tell each other of them.
#pragma once

#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/registry/target_record.hpp"

#include <optional>
#include <span>

namespace buckthornrail::registry {

/// What a target named last, as one process tells another.
struct limit_report {
    target_incarnation target;
    std::optional<double> perSecond; ///< requests that it takes from all gateways together; nothing: any number
    std::uint32_t ageMs = 0; ///< since a gateway heard it

    bool operator==(const limit_report&) const = default;
};

/// Where a controller has a limit from.
enum class limit_source : std::uint8_t {
    Downstream, ///< a gateway's session here, or, at the leader, a controller that follows
    Leader,
};

struct limit_table_options {
    /// What nobody has heard again for so long is dropped.
    milliseconds retention { 60000 };
    /// A limit that is heard again is told on at most so often.
    milliseconds refreshInterval { 1000 };
};

/// @brief Kept by each controller: the newest that was heard of each target. Soft state: what a new leader lacks is
/// told again as targets are heard again. Callers pass the time in.
/// @ingroup registry
class limit_table {
public:
    explicit limit_table(const limit_table_options& options = {})
        : m_options(options)
    {
    }

    /// @brief Takes over what is newer than what is held; of targets that the table doesn't know, nothing.
    void merge(std::span<const limit_report> news, limit_source source, const target_table& table, steady_time now);
    /// @brief Counts what was taken over.
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }
    /// @brief What was taken over after a revision.
    [[nodiscard]] std::vector<limit_report> changesSince(std::uint64_t revision, steady_time now) const;
    /// @brief The same without what the leader told, for the leader.
    [[nodiscard]] std::vector<limit_report> changesForLeader(std::uint64_t revision, steady_time now) const;
    /// @brief All limits held, for operators.
    [[nodiscard]] std::vector<limit_report> limits(steady_time now) const;

private:
    struct entry {
        std::optional<double> perSecond;
        steady_time heardAt {};
        std::uint64_t revision = 0;
        limit_source source = limit_source::Downstream;
    };

    template <typename Predicate> std::vector<limit_report> collect(steady_time now, const Predicate& isWanted) const;

    limit_table_options m_options;
    std::map<target_incarnation, entry> m_entries;
    std::uint64_t m_revision = 0;
};

} // namespace buckthornrail::registry
