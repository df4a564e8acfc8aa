#include <monsoondock/metrics/registry.hpp>

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <limits>
#include <vector>

namespace monsoondock::metrics {

namespace {

const char* metric_name(latency kind)
{
    switch (kind) {
    case latency::first_token:
        return "monsoondock_first_token_seconds";
    case latency::token_gap:
        return "monsoondock_token_gap_seconds";
    case latency::control_delay:
        return "monsoondock_control_delay_seconds";
    case latency::settings_fetch:
        return "monsoondock_settings_fetch_seconds";
    case latency::request:
        break;
    }
    return "monsoondock_request_seconds";
}


const char* metric_name(counter kind)
{
    switch (kind) {
    case counter::requests:
        return "monsoondock_requests_total";
    case counter::refusals:
        return "monsoondock_refusals_total";
    case counter::tokens:
        return "monsoondock_tokens_total";
    case counter::upstream_failures:
        return "monsoondock_upstream_failures_total";
    case counter::retries:
        return "monsoondock_retries_total";
    case counter::resumed_streams:
        return "monsoondock_resumed_streams_total";
    case counter::cancelled:
        return "monsoondock_cancelled_total";
    case counter::peer_bytes_sent:
        return "monsoondock_peer_bytes_sent_total";
    case counter::peer_bytes_received:
        return "monsoondock_peer_bytes_received_total";
    case counter::peer_datagrams_dropped:
        return "monsoondock_peer_datagrams_dropped_total";
    case counter::peer_messages:
        return "monsoondock_peer_messages_total";
    case counter::link_probes:
        return "monsoondock_link_probes_total";
    case counter::detours:
        return "monsoondock_detours_total";
    case counter::admission_refusals:
        return "monsoondock_admission_refusals_total";
    case counter::bad_requests:
        break;
    }
    return "monsoondock_bad_requests_total";
}


const char* metric_name(gauge kind)
{
    switch (kind) {
    case gauge::settings_revision:
        return "monsoondock_settings_revision";
    case gauge::members_alive:
        return "monsoondock_members_alive";
    case gauge::groups_serving:
        return "monsoondock_groups_serving";
    case gauge::evacuated_data_centres:
        return "monsoondock_evacuated_data_centres";
    case gauge::ready:
        break;
    }
    return "monsoondock_ready";
}


const char* metric_name(host_gauge kind)
{
    switch (kind) {
    case host_gauge::upstream_pace:
        break;
    }
    return "monsoondock_upstream_pace";
}


std::vector<prometheus::ClientMetric::Label> to_labels(const label& labels)
{
    return {{"workspace", labels.workspace_}, {"class", labels.class_}};
}


prometheus::ClientMetric to_metric(const latency_series& series)
{
    prometheus::ClientMetric metric;
    metric.histogram.sample_count = boost::accumulators::count(series.totals_);
    metric.histogram.sample_sum = boost::accumulators::sum(series.totals_);
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < series.buckets_.size(); ++i) {
        cumulative += series.buckets_.at(i);
        const double bound = i < bucket_bounds_s.size()
                                 ? bucket_bounds_s.at(i)
                                 : std::numeric_limits<double>::infinity();
        metric.histogram.bucket.push_back({cumulative, bound});
    }
    return metric;
}


// Appends metric to the last family or to a new one. The registry's maps are
// sorted, so metrics of the same name are adjacent.
void append(
    std::vector<prometheus::MetricFamily>& families,
    const char* name,
    prometheus::MetricType type,
    prometheus::ClientMetric metric)
{
    if (families.empty() || families.back().name != name) {
        prometheus::MetricFamily family;
        family.name = name;
        family.type = type;
        families.push_back(std::move(family));
    }
    families.back().metric.push_back(std::move(metric));
}

} // namespace

void registry::observe(
    latency kind, const label& labels, std::chrono::nanoseconds value)
{
    const std::lock_guard lock(mutex_);
    metrics::observe(latencies_[{kind, labels}], value);
}


void registry::add(counter kind, const label& labels, std::uint64_t n)
{
    const std::lock_guard lock(mutex_);
    counters_[{kind, labels}] += n;
}


void registry::set_total(counter kind, const label& labels, std::uint64_t total)
{
    const std::lock_guard lock(mutex_);
    counters_[{kind, labels}] = total;
}


void registry::set(gauge kind, double value)
{
    const std::lock_guard lock(mutex_);
    gauges_[kind] = value;
}


void registry::set(host_gauge kind, const std::string& host, double value)
{
    const std::lock_guard lock(mutex_);
    host_gauges_[{kind, host}] = value;
}


void registry::remove(host_gauge kind, const std::string& host)
{
    const std::lock_guard lock(mutex_);
    host_gauges_.erase({kind, host});
}


std::string registry::render() const
{
    std::vector<prometheus::MetricFamily> families;
    {
        const std::lock_guard lock(mutex_);
        for (const auto& [key, series] : latencies_) {
            prometheus::ClientMetric metric = to_metric(series);
            metric.label = to_labels(key.second);
            append(
                families,
                metric_name(key.first),
                prometheus::MetricType::Histogram,
                std::move(metric));
        }
        for (const auto& [key, total] : counters_) {
            prometheus::ClientMetric metric;
            metric.label = to_labels(key.second);
            metric.counter.value = static_cast<double>(total);
            append(
                families,
                metric_name(key.first),
                prometheus::MetricType::Counter,
                std::move(metric));
        }
        for (const auto& [kind, value] : gauges_) {
            prometheus::ClientMetric metric;
            metric.gauge.value = value;
            append(
                families,
                metric_name(kind),
                prometheus::MetricType::Gauge,
                std::move(metric));
        }
        for (const auto& [key, value] : host_gauges_) {
            prometheus::ClientMetric metric;
            metric.label = {{"host", key.second}};
            metric.gauge.value = value;
            append(
                families,
                metric_name(key.first),
                prometheus::MetricType::Gauge,
                std::move(metric));
        }
    }
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace monsoondock::metrics
