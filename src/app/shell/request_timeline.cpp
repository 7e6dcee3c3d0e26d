/// @file
/// @brief Parsing of log lines, and selection of those that concern a request.
#include "app/shell/request_timeline.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <istream>
#include <optional>
#include <set>
#include <sstream>

namespace buckthornrail::app {
namespace {

/// Seconds. Allows for clock skew between machines, and for failures of a target that are logged after the request has
/// failed there.
constexpr double timeMargin = 1.0;
/// Events that concern a whole process: starts and stops, leaders and disks, documents, sessions.
constexpr std::array processEvents { "E100", "E101", "E102", "E400", "E401", "E404", "E405", "E500", "E501", "E502",
    "E503", "E607", "E608", "E612" };

/// A log line in telemetry's format: "I SECONDS E200 name field=value ...".
struct log_line {
    double seconds = 0;
    std::string code;
    std::string text;
};

std::optional<log_line> readLine(const std::string& raw)
{
    std::istringstream stream(raw);
    std::string level;
    log_line line;
    if (!(stream >> level >> line.seconds >> line.code) || level.size() != 1 || line.code.front() != 'E')
        return std::nullopt;
    line.text = raw.substr(raw.find(line.code));
    return line;
}

/// @return the value of a field without quotes; empty when the line has no such field
std::string fieldOf(const std::string& text, const std::string& name)
{
    const std::string key = " " + name + "=";
    const auto found = text.find(key);
    if (found == std::string::npos)
        return {};
    const auto begin = found + key.size();
    if (begin < text.size() && text[begin] == '"')
        return text.substr(begin + 1, text.find('"', begin + 1) - begin - 1);
    return text.substr(begin, text.find(' ', begin) - begin);
}

/// Collects the targets in a request's line: "target=T", or "chosen=T=0-40,T=40-80".
void collectTargets(const std::string& text, std::set<std::string>& targets)
{
    if (const auto target = fieldOf(text, "target"); !target.empty())
        targets.insert(target);
    std::istringstream chosen(fieldOf(text, "chosen"));
    for (std::string part; std::getline(chosen, part, ',');)
        targets.insert(part.substr(0, part.find('=')));
}

template <typename Take> void forEachLine(const log_source& source, const Take& take)
{
    source.lines.clear();
    source.lines.seekg(0);
    for (std::string raw; std::getline(source.lines, raw);) {
        if (const auto line = readLine(raw))
            take(*line);
    }
}

} // namespace

std::vector<timeline_entry> requestTimeline(const std::string& request, const std::vector<log_source>& sources)
{
    std::vector<timeline_entry> timeline;
    if (request.empty())
        return timeline;
    std::set<std::string> targets;
    std::set<std::string> writers;
    for (const auto& source : sources) {
        forEachLine(source, [&](const log_line& line) {
            if (fieldOf(line.text, "request") != request)
                return;
            timeline.push_back({ source.name, line.seconds, line.text, true });
            collectTargets(line.text, targets);
            writers.insert(source.name);
        });
    }
    if (timeline.empty())
        return timeline;
    const auto earlier = [](const timeline_entry& a, const timeline_entry& b) { return a.seconds < b.seconds; };
    const auto [first, last] = std::minmax_element(timeline.begin(), timeline.end(), earlier);
    const double from = first->seconds - timeMargin;
    const double until = last->seconds + timeMargin;
    for (const auto& source : sources) {
        forEachLine(source, [&](const log_line& line) {
            if (line.seconds < from || line.seconds > until || !fieldOf(line.text, "request").empty())
                return;
            const bool isOfTarget
                = targets.contains(fieldOf(line.text, "target")) || targets.contains(fieldOf(line.text, "instance"));
            const bool isOfWriter = writers.contains(source.name)
                && std::find(processEvents.begin(), processEvents.end(), line.code) != processEvents.end();
            if (isOfTarget || isOfWriter)
                timeline.push_back({ source.name, line.seconds, line.text, false });
        });
    }
    std::stable_sort(timeline.begin(), timeline.end(), earlier);
    return timeline;
}

std::string format(const std::vector<timeline_entry>& timeline)
{
    const auto first
        = std::find_if(timeline.begin(), timeline.end(), [](const auto& line) { return line.namesRequest; });
    if (first == timeline.end())
        return {};
    std::size_t width = 0;
    for (const auto& line : timeline)
        width = std::max(width, line.source.size());
    std::string text;
    for (const auto& line : timeline) {
        std::array<char, 32> time {};
        std::snprintf(time.data(), time.size(), "%+9.3f s ", line.seconds - first->seconds);
        text += std::string(line.namesRequest ? "> " : "  ") + time.data() + line.source
            + std::string(width - line.source.size() + 1, ' ') + line.text + "\n";
    }
    return text;
}

} // namespace buckthornrail::app
