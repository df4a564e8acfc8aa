#pragma once

#include <monsoondock/metrics/label.hpp>
#include <monsoondock/metrics/latency_series.hpp>
#include <monsoondock/metrics/metric.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace monsoondock::metrics {

/// All metrics of one daemon. Safe for use by several threads.
class registry
{
public:
    /// Adds one observation to a histogram.
    void
    observe(latency what, const label& labels, std::chrono::nanoseconds value);


    /// Adds n to a counter.
    void add(counter what, const label& labels, std::uint64_t n = 1);


    /// Replaces the total of a counter that is kept elsewhere.
    void set_total(counter what, const label& labels, std::uint64_t total);


    /// Sets a gauge.
    void set(gauge what, double value);


    /// Returns everything in the Prometheus text format.
    std::string render() const;

private:
    mutable std::mutex mutex_;
    std::map<std::pair<latency, label>, latency_series> latencies_;
    std::map<std::pair<counter, label>, std::uint64_t> counters_;
    std::map<gauge, double> gauges_;
};

} // namespace monsoondock::metrics
