/// @file
/// @brief Page on which a gateway shows its admission of requests by priority.
#pragma once

#include "buckthornrail/gateway/admission.hpp"
#include "buckthornrail/gateway/admission_queue.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornrail::app {

inline constexpr std::string_view admissionPath = "/admission";

/// A queued request and the id that its caller gave it.
struct identified_request {
    std::string requestId; ///< empty: unknown
    gateway::queued_request entry;
};

/// State of a gateway's admission.
struct admission_overview {
    bool isOn = true; ///< by the gateway's settings
    std::optional<milliseconds> othersAge; ///< of the other gateways' demand; empty: never received
    std::vector<gateway::admission_state> states; ///< the rows of a service are adjacent
    std::vector<identified_request> queued; ///< in order
};

/// @brief Formats the state of a gateway's admission.
/// @param now for the ages of queued requests and the time that they have left
/// @return the body of the page, as JSON
std::string admissionPage(const admission_overview& overview, steady_time now);

} // namespace buckthornrail::app
