/// @file
/// @brief Rate limits that targets have named, as gateways and controllers tell each other of them.
#pragma once

#include "buckthornrail/core/clock.hpp"
#include "buckthornrail/registry/target_record.hpp"

#include <optional>
#include <span>

namespace buckthornrail::registry {

/// What a target named last, as one process tells another.
struct limit_news {
    target_incarnation target;
    std::optional<double> perSecond; ///< requests that it takes from all gateways together; nothing: any number
    std::uint32_t ageMs = 0; ///< since a gateway heard it

    bool operator==(const limit_news&) const = default;
};

/// Where a controller has a limit from.
enum class limit_source : std::uint8_t {
    Below, ///< a gateway's session here, or, at the leader, a controller that follows
    Leader,
};

struct limit_board_options {
    /// What nobody has heard again for so long is dropped.
    milliseconds keep { 60000 };
    /// A limit that is heard again is told on at most so often.
    milliseconds renewal { 1000 };
};

/// @brief Kept by each controller: the newest that was heard of each target. Soft state: what a new leader lacks is
/// told again as targets are heard again. Callers pass the time in.
/// @ingroup registry
class limit_board {
public:
    explicit limit_board(const limit_board_options& options = {})
        : m_options(options)
    {
    }

    /// @brief Takes over what is newer than what is held; of targets that the table doesn't know, nothing.
    void take(std::span<const limit_news> news, limit_source source, const target_table& table, steady_time now);
    /// @brief Counts what was taken over.
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }
    /// @brief What was taken over after a revision.
    [[nodiscard]] std::vector<limit_news> changesSince(std::uint64_t revision, steady_time now) const;
    /// @brief The same without what the leader told, for the leader.
    [[nodiscard]] std::vector<limit_news> changesForLeader(std::uint64_t revision, steady_time now) const;
    /// @brief All limits held, for operators.
    [[nodiscard]] std::vector<limit_news> limits(steady_time now) const;

private:
    struct entry {
        std::optional<double> perSecond;
        steady_time heardAt {};
        std::uint64_t revision = 0;
        limit_source source = limit_source::Below;
    };

    template <typename Predicate> std::vector<limit_news> collect(steady_time now, const Predicate& isWanted) const;

    limit_board_options m_options;
    std::map<target_incarnation, entry> m_entries;
    std::uint64_t m_revision = 0;
};

} // namespace buckthornrail::registry
