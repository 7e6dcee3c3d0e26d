/// @file
/// @brief Event log of the process. Catalogue of events: docs/EVENTS.md.
#pragma once

#include "buckthornrail/core/event_code.hpp"
#include "buckthornrail/core/log_field.hpp"

#include <initializer_list>
#include <string>
#include <string_view>

namespace buckthornrail::telemetry {

enum class severity { Info, Warning, Error };

/// Limits of the log's volume. Lines beyond them are counted and dropped.
struct log_limits {
    std::size_t linesPerSecond = 400; ///< of all severities; beyond it, only lines of severity Info are dropped
    std::size_t pendingBytes = 256U << 10U; ///< lines that the reader of standard output has not accepted yet
};

/// @brief Starts buffering of log lines, which flushLog() writes to standard output. Until then, each line is
/// written at once.
/// @param level minimum severity: "info", "warning" or "error"
void startLog(const std::string& level, const log_limits& limits = {});

/// @brief Writes the buffered lines as far as standard output accepts them without blocking. Call it often; callable
/// from any thread.
void flushLog();

/// @brief Logs "E<number> <name> field=value ...". Never blocks; callable from any thread.
void logEvent(event_code event, std::initializer_list<log_field> fields, severity level = severity::Info);

} // namespace buckthornrail::telemetry
