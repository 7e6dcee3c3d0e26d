/// @file
/// @brief What processes' logs say of one request: its own lines, and what befell its targets and gateway meanwhile.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace buckthornrail::app {

/// A process's log; read twice, so it must be seekable.
struct log_source {
    std::string name;
    std::istream& lines;
};

/// One line of an timeline.
struct timeline_entry {
    std::string source;
    double seconds = 0; ///< since 1970, by the clock of the machine that wrote it
    std::string text; ///< from the event's number on
    bool namesRequest = false; ///< names the request; else it tells of something else in its time
};

/// @brief Gathers the timeline of a request. Lines that aren't log lines are passed over.
///
/// Lines of others count from a second before its first to a second after its last: losses and orders of targets that
/// it was sent to, and starts, stops, sessions and documents of the gateways that wrote of it.
/// @return lines in the order of their time; empty when no log names the request
std::vector<timeline_entry> requestTimeline(const std::string& request, const std::vector<log_source>& sources);

/// @brief The timeline for a reader: seconds since its first own line, source, event; own lines are marked.
std::string format(const std::vector<timeline_entry>& timeline);

} // namespace buckthornrail::app
