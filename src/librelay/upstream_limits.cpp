#include "upstream_limits.hpp"

#include <monsoondock/base/event_line.hpp>
#include <monsoondock/relay/availability.hpp>

namespace monsoondock::relay::pvt {

namespace {

using std::chrono::milliseconds;


void update_share(
    proxy_thread& t, const base::host_id& host, hostlimits::host_limit& limit)
{
    const double share = hostlimits::share_of_limit(
        limit.per_second_, host, t.config_.daemon_, t.view_->peers_);
    hostlimits::set_share(limit, share, base::boot_clock::now());
}


void update_cold_share(
    proxy_thread& t, const base::host_id& host, hostlimits::host_limit& limit)
{
    const double share = t.view_->shares_cold_limits_
                             ? hostlimits::share_of_cold_limit(
                                   limit.per_second_,
                                   host,
                                   t.config_.daemon_,
                                   t.view_->known_daemons_)
                             : 0;
    hostlimits::set_share(limit, share, base::boot_clock::now());
}


// Returns true when the limit has changed.
bool state_limit(
    proxy_thread& t,
    const base::host_id& host,
    double per_second,
    base::time_point stated_at)
{
    hostlimits::host_limit& limit = t.upstream_table_.state_of(host).limit_;
    if (!hostlimits::state_limit(limit, per_second, stated_at))
        return false;
    update_share(t, host, limit);
    base::event_line("upstream_limit_changed")
        .field("host", host)
        .field("limit", per_second)
        .field("share", limit.share_);
    return true;
}

} // namespace

void record_limit(proxy_thread& t, const upstream& u, std::string_view limit)
{
    const auto named = hostlimits::parse_limit(limit);
    if (!limit.empty() && !named) {
        base::event_line("malformed_limit", base::severity::warning)
            .field("host", u.host_)
            .field("limit", limit);
        return;
    }
    const base::time_point now = base::boot_clock::now();
    const upstream_state& s = t.upstream_table_.state_of(u.host_);
    if (!named && !hostlimits::is_limited(s.limit_, now))
        return;
    const bool changed = state_limit(t, u.host_, named.value_or(0), now);
    if (changed && t.callbacks_.on_limit_)
        t.callbacks_.on_limit_(
            {u.host_, u.process_start_ms_, named.value_or(0), {}});
}


void apply_limit_report(proxy_thread& t, const host_limit_report& report)
{
    upstream_state& s = t.upstream_table_.state_of(report.host_);
    if (s.process_start_ms_ != 0 &&
        s.process_start_ms_ != report.process_start_ms_)
        return;
    s.process_start_ms_ = report.process_start_ms_;
    state_limit(
        t,
        report.host_,
        report.per_second_,
        base::boot_clock::now() - report.age_);
}


void apply_cold_state(proxy_thread& t, const upstream& u)
{
    const base::time_point now = base::boot_clock::now();
    const upstream_state* known = t.upstream_table_.find(u.host_);
    const base::time_point known_until =
        known == nullptr ? base::time_point() : known->cold_until_;
    // What ended longer ago than a ramp has no effect.
    if (known_until == u.cold_until_ ||
        (now >= known_until && now >= u.cold_until_ + ramp_time))
        return;
    upstream_state& s = t.upstream_table_.state_of(u.host_);
    // An entry may also end the cold time early.
    s.cold_until_ = u.cold_until_ == base::time_point() ? now : u.cold_until_;
    const bool was_cold = hostlimits::is_limited(s.cold_limit_, now);
    hostlimits::limit_until(
        s.cold_limit_, u.cold_requests_per_second_, s.cold_until_, now);
    if (!hostlimits::is_limited(s.cold_limit_, now))
        return;
    update_cold_share(t, u.host_, s.cold_limit_);
    if (!was_cold)
        base::event_line("upstream_cold")
            .field("host", u.host_)
            .field("share", s.cold_limit_.share_)
            .field("until", s.cold_until_ - now);
}


void update_limit_shares(proxy_thread& t)
{
    const base::time_point now = base::boot_clock::now();
    for (auto& [host, s] : t.upstream_table_.states()) {
        if (hostlimits::is_limited(s.limit_, now))
            update_share(t, host, s.limit_);
        if (hostlimits::is_limited(s.cold_limit_, now))
            update_cold_share(t, host, s.cold_limit_);
    }
}


void record_limited_send(proxy_thread& t, const base::host_id& host)
{
    const base::time_point now = base::boot_clock::now();
    upstream_state& s = t.upstream_table_.state_of(host);
    if (hostlimits::is_limited(s.limit_, now))
        hostlimits::record_send(s.limit_, now);
    if (hostlimits::is_limited(s.cold_limit_, now))
        hostlimits::record_send(s.cold_limit_, now);
}


std::vector<host_limit_report> host_limits(proxy_thread& t)
{
    const base::time_point now = base::boot_clock::now();
    std::vector<host_limit_report> reports;
    for (const auto& [host, s] : t.upstream_table_.states()) {
        const auto age = now - s.limit_.stated_at_;
        if (s.limit_.stated_at_ != base::time_point() &&
            age < hostlimits::limit_memory)
            reports.push_back(
                {host,
                 s.process_start_ms_,
                 s.limit_.per_second_,
                 std::chrono::duration_cast<milliseconds>(age)});
    }
    return reports;
}

} // namespace monsoondock::relay::pvt
