/// @file
/// @brief Log lines with numbered events. Catalogue: docs/EVENTS.md.
#pragma once

#include "buckthornrail/core/event_code.hpp"

#include <initializer_list>
#include <string>
#include <string_view>

namespace buckthornrail::telemetry {

/// One "name=value" of a log line.
struct log_field {
    std::string_view name;
    std::string value;
};

enum class severity { Info, Warning, Error };

/// @brief Starts logging to standard error. @param level "info", "warning" or "error"
void startLog(const std::string& program, const std::string& level);

/// @brief Writes "E<number> <name> field=value ...".
void logEvent(event_code event, std::initializer_list<log_field> fields, severity level = severity::Info);

} // namespace buckthornrail::telemetry
