/// @file
/// @brief Formats the members page of a registry for `ctl members`.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace buckthornrail::app {

/// @param page body of the members page
/// @return a line on the losses that can be borne, and a line for each member
std::string memberListing(const nlohmann::json& page);

} // namespace buckthornrail::app
