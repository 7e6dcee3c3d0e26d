/// @file
/// @brief Targets that turned a registry's orders or questions away, and asked for rest.
#pragma once

#include "buckthornrail/gateway/dialect.hpp"
#include "buckthornrail/net/http_service.hpp"

#include <map>

namespace buckthornrail::app {

/// @brief Whoever calls targets asks here first, and tells what they answer. Lives on the loop thread.
class target_backoffs {
public:
    explicit target_backoffs(const gateway::control_dialect& dialect)
        : m_dialect(dialect)
    {
    }

    /// @brief Takes over what a target's response says. @return whether it asks for rest, and so lives
    bool heard(const registry::target_incarnation& target, net::call_outcome outcome,
        const net::whole_response& response, steady_time now);
    /// @return the end of its rest; the clock's beginning when it asked for none
    [[nodiscard]] steady_time until(const registry::target_incarnation& target) const;
    [[nodiscard]] bool isResting(const registry::target_incarnation& target, steady_time now) const;

private:
    const gateway::control_dialect& m_dialect;
    std::map<registry::target_incarnation, steady_time> m_until;
};

} // namespace buckthornrail::app
