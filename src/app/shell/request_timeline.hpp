/// @file
/// @brief Timeline of one request from the logs of processes: its own events, and those of its targets and gateways
/// around the same time.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace buckthornrail::app {

/// Log of a process. It is read twice, so it must be seekable.
struct log_source {
    std::string name; ///< shown as the source of its lines
    std::istream& lines;
};

/// A log line in a timeline.
struct timeline_entry {
    std::string source; ///< name of the log
    double seconds = 0; ///< since the epoch, by the clock of the machine that wrote the line
    std::string text; ///< the line from the event code on
    bool namesRequest = false; ///< has the request's id; otherwise a related event of the same time
};

/// @brief Collects the timeline of a request. Lines in another format than the log's are ignored.
///
/// Related events are taken from a second before the request's first event to a second after its last one: events of
/// targets that it was sent to, and starts, stops, sessions and documents of the processes that logged the request.
/// @return lines in order of time; empty when no log contains the request
std::vector<timeline_entry> requestTimeline(const std::string& request, const std::vector<log_source>& sources);

/// @brief Formats a timeline as text: seconds since the request's first event, source and event. The request's own
/// lines start with '>'.
std::string format(const std::vector<timeline_entry>& timeline);

} // namespace buckthornrail::app
