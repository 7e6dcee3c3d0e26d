/// @file
/// @brief Replicated claims of non-idempotent requests: at most one attempt holds a key.
#pragma once

#include "buckthornrail/core/identifiers.hpp"
#include "buckthornrail/core/result_code.hpp"

#include <map>
#include <set>
#include <vector>

namespace buckthornrail::dispatch {

/// Names one non-idempotent request for good.
struct claim_key {
    std::string workspace;
    std::string key; ///< the caller's Idempotency-Key
    auto operator<=>(const claim_key&) const = default;
};

/// The attempt that holds a claim.
struct claim_holder {
    attempt_id attempt;
    instance_id instance; ///< sidecar that the attempt is for
    incarnation_number incarnation = 0; ///< of that sidecar
    bool operator==(const claim_holder&) const = default;
};

/// A request for a claim.
struct claim_command {
    claim_key key;
    std::uint64_t requestDigest = 0; ///< tells a resend from a different request under the same key
    claim_holder holder;
    claim_holder replaces; ///< proved not run; empty attempt for a first claim
    std::uint64_t wallSeconds = 0; ///< the proposer's time of day
    std::uint64_t retainSeconds = 0;
};

enum class claim_outcome : std::uint8_t {
    Granted, ///< the holder of the command holds it
    Held, ///< another attempt holds it; the outcome is in its sidecar
    Reused, ///< the key stands for a different request
};

struct claim_result {
    claim_outcome outcome = claim_outcome::Held;
    claim_holder holder; ///< who holds it now
};

/// One claim.
struct claim_record {
    claim_key key;
    std::uint64_t requestDigest = 0;
    claim_holder holder;
    std::uint64_t retainUntil = 0; ///< seconds of the table's clock
};

/// @brief The table. Its clock is the highest time of day that any command brought, the same on every replica.
/// @ingroup dispatch
class claim_table {
public:
    claim_result apply(const claim_command& command);

    [[nodiscard]] std::size_t size() const { return m_claims.size(); }
    [[nodiscard]] std::vector<claim_record> records() const;
    [[nodiscard]] std::uint64_t clock() const { return m_clock; }
    void restore(std::vector<claim_record> records, std::uint64_t clock);

private:
    void expire();

    std::map<claim_key, claim_record> m_claims;
    std::set<std::pair<std::uint64_t, claim_key>> m_byDeadline;
    std::uint64_t m_clock = 0;
};

} // namespace buckthornrail::dispatch
