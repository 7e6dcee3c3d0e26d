/// @file
/// @brief Log lines with numbered events. Catalogue: docs/EVENTS.md.
#pragma once

#include "buckthornrail/core/event_code.hpp"
#include "buckthornrail/core/log_field.hpp"

#include <initializer_list>
#include <string>
#include <string_view>

namespace buckthornrail::telemetry {

enum class severity { Info, Warning, Error };

/// Bounds of the log's volume.
struct log_limits {
    std::size_t linesPerSecond = 400; ///< more are counted and left out
    std::size_t pendingBytes = 256U << 10U; ///< that a reader who is too slow may leave; the same
};

/// @brief Starts logging to standard output. Lines are written by flushLog(), never blocking.
/// @param level "info", "warning" or "error"
void startLog(const std::string& level, const log_limits& limits = {});

/// @brief Writes what has gathered, as far as the reader takes it. Call it often; callable from any thread.
void flushLog();

/// @brief Writes "E<number> <name> field=value ...".
void logEvent(event_code event, std::initializer_list<log_field> fields, severity level = severity::Info);

} // namespace buckthornrail::telemetry
