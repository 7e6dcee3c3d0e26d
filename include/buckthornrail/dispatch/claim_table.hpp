/// @file
/// @brief Replicated table of claims on idempotency keys: at most one attempt holds a key.
#pragma once

#include "buckthornrail/core/identifiers.hpp"
#include "buckthornrail/core/result_code.hpp"

#include <map>
#include <set>
#include <vector>

namespace buckthornrail::dispatch {

/// Identifies a non-idempotent request.
struct claim_key {
    std::string workspace;
    std::string key; ///< the caller's Idempotency-Key
    auto operator<=>(const claim_key&) const = default;
};

/// The attempt that holds a claim.
struct claim_holder {
    attempt_id attempt;
    instance_id instance; ///< sidecar that the attempt is sent to
    incarnation_number incarnation = 0; ///< of that sidecar
    bool operator==(const claim_holder&) const = default;
};

/// Claims a key, or moves its claim from another attempt.
struct claim_command {
    claim_key key;
    std::uint64_t requestDigest = 0; ///< distinguishes a resend from a different request under the same key
    claim_holder holder;
    claim_holder replaces; ///< holder that is proven not to have run; empty for a first claim
    std::uint64_t wallSeconds = 0; ///< the proposer's wall clock, in seconds since the epoch
    std::uint64_t retainSeconds = 0; ///< the claim expires after this time
};

enum class claim_outcome : std::uint8_t {
    Granted, ///< the command's holder now holds the key
    Held, ///< another attempt holds the key; its sidecar knows the outcome
    Reused, ///< the key belongs to a different request
};

struct claim_result {
    claim_outcome outcome = claim_outcome::Held;
    claim_holder holder; ///< current holder of the key
};

/// Claim on one key.
struct claim_record {
    claim_key key;
    std::uint64_t requestDigest = 0;
    claim_holder holder;
    std::uint64_t retainUntil = 0; ///< in seconds of the table's clock
};

/// @brief State machine of the claims. Its clock is the highest wall time of any command so far, so that claims expire
/// identically on every replica.
/// @ingroup dispatch
class claim_table {
public:
    /// @brief Advances the clock, removes expired claims, then grants or refuses the command's claim. Applying a
    /// granted command again has no effect.
    claim_result apply(const claim_command& command);

    [[nodiscard]] std::size_t size() const { return m_claims.size(); }
    [[nodiscard]] std::vector<claim_record> records() const;
    /// @return highest wall time of any command, in seconds
    [[nodiscard]] std::uint64_t clock() const { return m_clock; }
    /// @brief Replaces the table by the contents of a snapshot.
    void restore(std::vector<claim_record> records, std::uint64_t clock);

private:
    void expire();

    std::map<claim_key, claim_record> m_claims;
    std::set<std::pair<std::uint64_t, claim_key>> m_byDeadline;
    std::uint64_t m_clock = 0;
};

} // namespace buckthornrail::dispatch
