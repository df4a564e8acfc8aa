#include "upstream_pace.hpp"

#include "serving_engine.hpp"

#include <monsoondock/base/event_line.hpp>
#include <monsoondock/base/status_class.hpp>
#include <monsoondock/hostpace/compare.hpp>
#include <monsoondock/hostpace/engine_pace.hpp>
#include <monsoondock/relay/availability.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace monsoondock::relay::pvt {

namespace http = boost::beast::http;

namespace {

using hostpace::fractional_ms;
using std::chrono::milliseconds;

constexpr milliseconds update_period{100};
// Peers learn of upstreams that become slow in between with the periodic
// reports.
constexpr milliseconds min_alert_period{250};
// A longer write to a caller may have made the upstream wait.
constexpr milliseconds max_write_time{20};
// A failure counts as a response that took this multiple of the expected time.
constexpr double failure_factor = 4;
// Keeps a datagram of reports below the largest size.
constexpr std::size_t max_reports = 400;

/// Upstreams of one model, or of one service.
using pace_group = std::vector<std::pair<const upstream*, upstream_state*>>;


bool is_measured(const try_context& c)
{
    return c.t_.config_.learned_capacity_ && !c.detour_;
}


void record_sample(
    try_context& c, fractional_ms observed, fractional_ms expected)
{
    upstream_state& s = target_state(c);
    hostpace::add_sample(
        s.pace_,
        {total_load(s), c.target_.slots_, observed, expected},
        base::boot_clock::now());
}


void record_first_event(
    try_context& c, const serving_engine& s, base::time_point now)
{
    const unsigned load = total_load(target_state(c));
    // The time until a slot is free is not known.
    if (load > s.engine_->slots_)
        return;
    record_sample(
        c,
        now - c.e_.phase_start_,
        hostpace::first_event_time(
            *s.engine_, s.time_factor_, load, c.e_.prompt_tokens_));
}


bool is_slow_to_this_daemon(const upstream_state& s, base::time_point now)
{
    const auto own = hostpace::total(hostpace::own_sums(s.pace_, now));
    return own.observed_ms_ > hostpace::slow_factor * own.expected_ms_;
}


void log_pace(const upstream& u, const upstream_state& s, bool own)
{
    base::event_line("upstream_pace")
        .field("host", u.host_)
        .field("model", u.model_)
        .field("slow", s.pace_.slow_ ? "yes" : "no")
        .field("pace", s.pace_.relative_)
        .field("factor", hostpace::factor(s.pace_))
        .field("limit_share", s.pace_.limit_share_)
        .field("load", total_load(s))
        .field("source", own ? "own" : "peers");
}


// Adds the upstreams of the group that are slow to the set, and those of which
// peers are to be told to the reports.
void update_group(
    const pace_group& group,
    base::time_point now,
    std::set<base::host_id>& slow,
    std::vector<hostpace::pace_report>& alerts)
{
    std::vector<hostpace::pace_state*> paces;
    paces.reserve(group.size());
    for (const auto& [u, s] : group) {
        hostpace::update(s->pace_, now);
        paces.push_back(&s->pace_);
    }
    const auto changed = hostpace::compare(paces);
    for (const auto& [u, s] : group) {
        if (s->pace_.slow_)
            slow.insert(u->host_);
        if (std::find(changed.begin(), changed.end(), &s->pace_) ==
            changed.end())
            continue;
        const bool own = is_slow_to_this_daemon(*s, now);
        log_pace(*u, *s, own);
        if (s->pace_.slow_ && own)
            alerts.push_back(
                {u->host_,
                 u->process_start_ms_,
                 hostpace::own_sums(s->pace_, now)});
    }
}


void update_metrics(proxy_thread& t, std::set<base::host_id> slow)
{
    constexpr auto kind = metrics::host_gauge::upstream_pace;
    for (const base::host_id& host : t.slow_upstreams_) {
        if (!slow.contains(host))
            t.metrics_.remove(kind, host.value_);
    }
    for (const base::host_id& host : slow)
        t.metrics_.set(
            kind,
            host.value_,
            t.upstream_table_.state_of(host).pace_.relative_);
    t.slow_upstreams_ = std::move(slow);
}


// Returns true when no other route to the deployment has a longer target
// latency.
bool has_most_slack(const exchange& e)
{
    const auto& routes = e.view_->catalog_->routes_;
    return std::none_of(
        routes.begin(), routes.end(), [&](const catalog::route& r) {
            return r.target_latency_ > e.route_->target_latency_ &&
                   std::any_of(
                       r.deployments_.begin(),
                       r.deployments_.end(),
                       [&](const catalog::weighted_deployment& d) {
                           return d.deployment_ == e.deployment_;
                       });
        });
}

} // namespace

void record_events(try_context& c, std::uint64_t events)
{
    if (events == 0 || !is_measured(c))
        return;
    const serving_engine s = find_engine(c.e_);
    if (s.engine_ == nullptr)
        return;
    const base::time_point now = base::boot_clock::now();
    const base::time_point previous = std::exchange(c.events_at_, now);
    if (c.e_.phase_ == wait_phase::first_response) {
        record_first_event(c, s, now);
    } else if (previous != base::time_point()) {
        const unsigned load = total_load(target_state(c));
        record_sample(
            c,
            now - previous,
            double(events) *
                hostpace::event_interval(*s.engine_, s.time_factor_, load));
    }
}


void record_write(try_context& c)
{
    if (base::boot_clock::now() - c.events_at_ > max_write_time)
        c.events_at_ = {};
}


void record_call(try_context& c, const http_response& response)
{
    const bool not_run = response.count(c.t_.config_.headers_.not_run_) > 0 ||
                         response.result() == http::status::misdirected_request;
    if (!is_measured(c) || !c.target_.model_.empty() || not_run)
        return;
    const base::time_point now = base::boot_clock::now();
    const fractional_ms latency = now - c.e_.phase_start_;
    const std::size_t level =
        hostpace::load_level(total_load(target_state(c)), c.target_.slots_);
    auto& known = c.t_.service_latencies_[c.e_.deployment_];
    const bool failed =
        base::status_class_of(response) == http::status_class::server_error;
    if (!failed)
        known.add(c.target_.host_, level, latency, now);
    const auto expected = known.expected(level, now);
    if (expected)
        record_sample(
            c, failed ? failure_factor * *expected : latency, *expected);
}


void update_paces(proxy_thread& t, base::time_point now)
{
    if (!t.config_.learned_capacity_ ||
        now - t.paces_updated_at_ < update_period)
        return;
    t.paces_updated_at_ = now;
    std::set<base::host_id> slow;
    std::vector<hostpace::pace_report> alerts;
    for (const auto& [deployment, upstreams] : t.view_->upstreams_) {
        std::map<std::string_view, pace_group> models;
        for (const upstream& u : upstreams)
            models[u.model_].push_back(
                {&u, &t.upstream_table_.state_of(u.host_)});
        for (const auto& [model, group] : models)
            update_group(group, now, slow, alerts);
    }
    update_metrics(t, std::move(slow));
    if (alerts.empty() || now - t.slow_reported_at_ < min_alert_period)
        return;
    t.slow_reported_at_ = now;
    if (t.callbacks_.on_slow_upstreams_)
        t.callbacks_.on_slow_upstreams_(alerts);
}


std::vector<hostpace::pace_report>
pace_reports(proxy_thread& t, base::time_point now)
{
    std::vector<hostpace::pace_report> reports;
    if (!t.config_.learned_capacity_)
        return reports;
    for (const auto& [host, s] : t.upstream_table_.states()) {
        if (!hostpace::must_report(s.pace_) || reports.size() >= max_reports)
            continue;
        const auto sums = hostpace::own_sums(s.pace_, now);
        if (hostpace::is_valid(sums))
            reports.push_back({host, s.process_start_ms_, sums});
    }
    return reports;
}


void apply_pace_reports(
    proxy_thread& t,
    const base::daemon_id& source,
    const std::vector<hostpace::pace_report>& reports)
{
    if (!t.config_.learned_capacity_)
        return;
    const base::time_point now = base::boot_clock::now();
    for (const hostpace::pace_report& r : reports) {
        upstream_state& s = t.upstream_table_.state_of(r.host_);
        const bool same_process = s.process_start_ms_ == 0 ||
                                  r.process_start_ms_ == 0 ||
                                  s.process_start_ms_ == r.process_start_ms_;
        if (same_process)
            hostpace::set_peer_sums(s.pace_, source, r.sums_, now);
    }
}


std::optional<upstream> choose_probed_upstream(
    proxy_thread& t, const exchange& e, const std::vector<upstream>& upstreams)
{
    if (!t.config_.learned_capacity_ || t.slow_upstreams_.empty() ||
        e.sends_ > 0 || !has_most_slack(e))
        return std::nullopt;
    const base::time_point now = base::boot_clock::now();
    for (const upstream& u : upstreams) {
        upstream_state& s = t.upstream_table_.state_of(u.host_);
        if (u.model_ != e.model_ || !s.pace_.slow_ ||
            s.unhealthy_until_ > now || usable_share(s, now) < 1 ||
            total_load(s) >= u.slots_)
            continue;
        if (hostpace::take_probe(
                s.pace_, t.view_->daemons_, random_fraction(t), now))
            return u;
    }
    return std::nullopt;
}

} // namespace monsoondock::relay::pvt
