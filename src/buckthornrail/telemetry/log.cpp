/// @file
/// @brief Log lines by glog.
#include "buckthornrail/telemetry/log.hpp"

#include <glog/logging.h>

namespace buckthornrail::telemetry {
namespace {

int glogSeverity(severity level)
{
    switch (level) {
    case severity::Warning:
        return google::GLOG_WARNING;
    case severity::Error:
        return google::GLOG_ERROR;
    case severity::Info:
        break;
    }
    return google::GLOG_INFO;
}

/// Quotes a value that would not read as one word.
std::string quoted(const std::string& value)
{
    if (!value.empty() && value.find_first_of(" \"\n\r") == std::string::npos)
        return value;
    std::string out = "\"";
    for (const char symbol : value) {
        if (symbol == '"' || symbol == '\\')
            out += '\\';
        out += symbol == '\n' || symbol == '\r' ? ' ' : symbol;
    }
    return out + "\"";
}

} // namespace

void startLog(const std::string& program, const std::string& level)
{
    static std::string name;
    name = program;
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = level == "error" ? google::GLOG_ERROR
        : level == "warning"             ? google::GLOG_WARNING
                                         : google::GLOG_INFO;
    google::InitGoogleLogging(name.c_str());
}

void logEvent(event_code event, std::initializer_list<log_field> fields, severity level)
{
    std::string line = "E" + std::to_string(static_cast<unsigned>(event)) + " ";
    line += describe(event).name;
    for (const auto& field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        line += quoted(field.value);
    }
    google::LogMessage("buckthornrail", 0, glogSeverity(level)).stream() << line;
}

} // namespace buckthornrail::telemetry
