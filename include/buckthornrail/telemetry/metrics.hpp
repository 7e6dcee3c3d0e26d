/// @file
/// @brief Counters, gauges and histograms of one process, served as Prometheus text.
#pragma once

#include <memory>
#include <string>

namespace buckthornrail::telemetry {

/// @ingroup telemetry
class metrics {
public:
    metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    ~metrics();

    /// @brief Adds to a counter; callable from any thread. @param label value of its label "kind"; empty: no label
    void count(const std::string& name, const std::string& label = {}, double amount = 1);
    /// @brief Adds 1 to a counter that has another label than "kind"; callable from any thread.
    /// @param labelName,label name and value of the label; one name for all counters of `name`
    void countBy(const std::string& name, const std::string& labelName, const std::string& label);
    /// @brief Sets a gauge; callable from any thread.
    void gauge(const std::string& name, double value);
    /// @brief Adds a sample in milliseconds to a histogram; callable from any thread.
    void observeMs(const std::string& name, double milliseconds);
    /// @brief Formats all metrics as Prometheus text.
    [[nodiscard]] std::string text() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace buckthornrail::telemetry
