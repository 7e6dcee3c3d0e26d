/// @file
/// @brief Implements metrics with prometheus-cpp.
#include "buckthornrail/telemetry/metrics.hpp"

#include <map>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace buckthornrail::telemetry {

struct metrics::implementation {
    /// Looks up a metric and creates it on first use. Cached, as the registry's own lookup takes a lock and builds
    /// maps.
    template <typename Metric, typename Make>
    Metric& find(std::map<std::pair<std::string, std::string>, Metric*>& known, const std::string& name,
        const std::string& label, Make make)
    {
        const std::scoped_lock lock(mutex);
        auto& metric = known[{ name, label }];
        if (metric == nullptr)
            metric = &make();
        return *metric;
    }

    prometheus::Registry registry;
    std::mutex mutex;
    std::map<std::pair<std::string, std::string>, prometheus::Counter*> counters;
    std::map<std::pair<std::string, std::string>, prometheus::Gauge*> gauges;
    std::map<std::pair<std::string, std::string>, prometheus::Histogram*> histograms;
};

metrics::metrics()
    : m_implementation(std::make_unique<implementation>())
{
}

metrics::~metrics() = default;

void metrics::count(const std::string& name, const std::string& label, double amount)
{
    auto& own = *m_implementation;
    const auto make = [&]() -> prometheus::Counter& {
        const auto labels = label.empty() ? prometheus::Labels {} : prometheus::Labels { { "kind", label } };
        return prometheus::BuildCounter().Name("buckthornrail_" + name).Register(own.registry).Add(labels);
    };
    own.find(own.counters, name, label, make).Increment(amount);
}

void metrics::countBy(const std::string& name, const std::string& labelName, const std::string& label)
{
    auto& own = *m_implementation;
    const auto make = [&]() -> prometheus::Counter& {
        return prometheus::BuildCounter()
            .Name("buckthornrail_" + name)
            .Register(own.registry)
            .Add({ { labelName, label } });
    };
    own.find(own.counters, name, label, make).Increment();
}

void metrics::gauge(const std::string& name, double value)
{
    auto& own = *m_implementation;
    const auto make = [&]() -> prometheus::Gauge& {
        return prometheus::BuildGauge().Name("buckthornrail_" + name).Register(own.registry).Add({});
    };
    own.find(own.gauges, name, "", make).Set(value);
}

void metrics::observeMs(const std::string& name, double milliseconds)
{
    auto& own = *m_implementation;
    const auto make = [&]() -> prometheus::Histogram& {
        const prometheus::Histogram::BucketBoundaries bounds { 1, 2, 5, 10, 20, 29, 50, 100, 200, 500, 1000, 1800, 5000,
            10000, 30000, 60000 };
        return prometheus::BuildHistogram().Name("buckthornrail_" + name).Register(own.registry).Add({}, bounds);
    };
    own.find(own.histograms, name, "", make).Observe(milliseconds);
}

std::string metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_implementation->registry.Collect());
}

} // namespace buckthornrail::telemetry
