#include "upstream_limits.hpp"

#include <monsoondock/base/event_line.hpp>

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


void update_limit_shares(proxy_thread& t)
{
    const base::time_point now = base::boot_clock::now();
    for (auto& [host, s] : t.upstream_table_.states()) {
        if (hostlimits::is_limited(s.limit_, now))
            update_share(t, host, s.limit_);
    }
}


void record_limited_send(proxy_thread& t, const base::host_id& host)
{
    const base::time_point now = base::boot_clock::now();
    hostlimits::host_limit& limit = t.upstream_table_.state_of(host).limit_;
    if (hostlimits::is_limited(limit, now))
        hostlimits::record_send(limit, now);
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
