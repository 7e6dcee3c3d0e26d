/// @file
/// @brief Formats a gateway's page of its admission for operators.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace buckthornrail::app {

/// @param page as formatted by admissionPage()
/// @return lines with the priorities of each service and the queued requests, without the last line break
std::string admissionListing(const nlohmann::json& page);

} // namespace buckthornrail::app
