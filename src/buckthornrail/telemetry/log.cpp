/// @file
/// @brief Event log: buffers lines within limits and writes them to standard output without blocking.
///
/// glog is not used, as it writes to standard error or files and blocks if the reader stalls.
#include "buckthornrail/telemetry/log.hpp"

#include "buckthornrail/core/clock.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <mutex>
#include <poll.h>
#include <unistd.h>

namespace buckthornrail::telemetry {
namespace {

/// A pipe that polls as writable accepts this many bytes without blocking (POSIX).
constexpr std::size_t bytesPerWrite = 4096;
constexpr std::array severityLetters { 'I', 'W', 'E' };

/// Lines that have not been written yet. Thread-safe.
class line_buffer {
public:
    void start(severity minLevel, const log_limits& limits)
    {
        const std::scoped_lock lock(m_mutex);
        m_minLevel = minLevel;
        m_limits = limits;
        m_started = true;
    }

    void add(severity level, const std::string& text)
    {
        const std::scoped_lock lock(m_mutex);
        if (level < m_minLevel)
            return;
        const auto now = boot_clock::now();
        if (now >= m_secondEnd) {
            m_secondEnd = now + std::chrono::seconds(1);
            m_linesThisSecond = 0;
            reportDropped();
        }
        ++m_linesThisSecond;
        // Warnings and errors are rare: they are exempt from the limit of lines, but not from that of memory.
        const bool isOverRate = level == severity::Info && m_linesThisSecond > m_limits.linesPerSecond;
        if (isOverRate || m_pending.size() + text.size() > m_limits.pendingBytes) {
            ++m_dropped;
            return;
        }
        append(level, text);
        if (!m_started)
            flushLocked();
    }

    void flush()
    {
        const std::scoped_lock lock(m_mutex);
        flushLocked();
    }

    ~line_buffer() { flush(); }

private:
    void append(severity level, const std::string& text)
    {
        const auto wall = std::chrono::system_clock::now().time_since_epoch();
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(wall).count();
        std::array<char, 40> prefix {};
        std::snprintf(prefix.data(), prefix.size(), "%c %lld.%03lld ", severityLetters[static_cast<std::size_t>(level)],
            static_cast<long long>(ms / 1000), static_cast<long long>(ms % 1000));
        m_pending += prefix.data();
        m_pending += text;
        m_pending += '\n';
    }

    void reportDropped()
    {
        if (m_dropped == 0)
            return;
        const auto code = event_code::LogLinesDropped;
        append(severity::Warning,
            "E" + std::to_string(static_cast<unsigned>(code)) + " " + std::string(describe(code).name)
                + " count=" + std::to_string(m_dropped));
        m_dropped = 0;
    }

    void flushLocked()
    {
        std::size_t written = 0;
        while (written < m_pending.size()) {
            pollfd output { STDOUT_FILENO, POLLOUT, 0 };
            if (::poll(&output, 1, 0) <= 0 || (output.revents & POLLOUT) == 0)
                break;
            const std::size_t size = std::min(bytesPerWrite, m_pending.size() - written);
            const ssize_t count = ::write(STDOUT_FILENO, m_pending.data() + written, size);
            if (count <= 0)
                break; // the reader has gone; pendingBytes limits the buffer
            written += static_cast<std::size_t>(count);
        }
        m_pending.erase(0, written);
    }

    std::mutex m_mutex;
    severity m_minLevel = severity::Info;
    log_limits m_limits;
    bool m_started = false;
    std::string m_pending;
    std::size_t m_dropped = 0;
    std::size_t m_linesThisSecond = 0;
    boot_clock::time_point m_secondEnd {};
};

line_buffer& lines()
{
    static line_buffer buffer;
    return buffer;
}

/// Appends a value, in quotes if it would not parse as one word.
void appendQuoted(std::string& out, const std::string& value)
{
    if (!value.empty() && value.find_first_of(" \"\n\r") == std::string::npos) {
        out += value;
        return;
    }
    out += '"';
    for (const char symbol : value) {
        if (symbol == '"' || symbol == '\\')
            out += '\\';
        out += symbol == '\n' || symbol == '\r' ? ' ' : symbol;
    }
    out += '"';
}

} // namespace

void startLog(const std::string& level, const log_limits& limits)
{
    lines().start(level == "error" ? severity::Error : level == "warning" ? severity::Warning : severity::Info, limits);
}

void flushLog() { lines().flush(); }

void logEvent(event_code event, std::initializer_list<log_field> fields, severity level)
{
    std::string line;
    line.reserve(200);
    line += "E" + std::to_string(static_cast<unsigned>(event)) + " ";
    line += describe(event).name;
    for (const auto& field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        appendQuoted(line, field.value);
    }
    lines().add(level, line);
}

} // namespace buckthornrail::telemetry
