/// @file
/// @brief Backoffs that targets requested when they rejected a registry's orders or report requests.
#pragma once

#include "buckthornrail/gateway/dialect.hpp"
#include "buckthornrail/net/http_service.hpp"

#include <map>

namespace buckthornrail::app {

/// @brief Callers check here before they call a target, and record its response afterwards. Used on the loop thread
/// only.
class target_backoffs {
public:
    /// @param dialect reads the backoff from a response; must outlive this object
    explicit target_backoffs(const gateway::control_dialect& dialect)
        : m_dialect(dialect)
    {
    }

    /// @brief Records the backoff that a target's response requests, if any. A shorter one than is in effect changes
    /// nothing.
    /// @return whether the response requests a backoff, which also shows that the target is alive
    bool recordResponse(const registry::target_incarnation& target, net::call_outcome outcome,
        const net::whole_response& response, steady_time now);
    /// @return when the target's backoff ends; the clock's epoch when it requested none
    [[nodiscard]] steady_time endOf(const registry::target_incarnation& target) const;
    [[nodiscard]] bool isBackingOff(const registry::target_incarnation& target, steady_time now) const;

private:
    const gateway::control_dialect& m_dialect;
    std::map<registry::target_incarnation, steady_time> m_ends;
};

} // namespace buckthornrail::app
