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

/// Metrics of one daemon. Thread-safe.
class registry
{
public:
    /// Adds one observation to a histogram.
    void
    observe(latency kind, const label& labels, std::chrono::nanoseconds value);


    /// Adds n to a counter.
    void add(counter kind, const label& labels, std::uint64_t n = 1);


    /// Sets a counter whose total is maintained outside the registry.
    void set_total(counter kind, const label& labels, std::uint64_t total);


    /// Sets a gauge.
    void set(gauge kind, double value);


    /// Sets a gauge of a host.
    void set(host_gauge kind, const std::string& host, double value);


    /// Removes a gauge of a host, if there is one.
    void remove(host_gauge kind, const std::string& host);


    /// Returns all metrics in the Prometheus text format.
    std::string render() const;

private:
    mutable std::mutex mutex_;
    std::map<std::pair<latency, label>, latency_series> latencies_;
    std::map<std::pair<counter, label>, std::uint64_t> counters_;
    std::map<gauge, double> gauges_;
    std::map<std::pair<host_gauge, std::string>, double> host_gauges_;
};

} // namespace monsoondock::metrics
