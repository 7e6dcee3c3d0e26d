/// @file
/// @brief The operators' shell: `buckthornrail ctl ...`.
#pragma once

#include <string>
#include <vector>

namespace buckthornrail::app {

/// @brief Runs one command. @return the exit status: 0 done, 1 refused or failed, 2 invalid usage
int runControlShell(const std::vector<std::string>& arguments);

} // namespace buckthornrail::app
