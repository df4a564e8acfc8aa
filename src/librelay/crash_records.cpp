#include "crash_records.hpp"

#include <monsoondock/base/event_line.hpp>
#include <monsoondock/base/stable_hash.hpp>

#include <boost/beast/http/status.hpp>

#include <algorithm>

namespace monsoondock::relay::pvt {

namespace http = boost::beast::http;

namespace {

using std::chrono::milliseconds;

// Reports that many daemons have to give are spread over this time for each of
// them, so that the first one spares the others theirs.
constexpr milliseconds report_spread_per_daemon{1};


milliseconds report_delay(proxy_thread& t)
{
    const milliseconds spread = report_spread_per_daemon * t.view_->daemons_;
    return milliseconds(
        static_cast<std::int64_t>(double(spread.count()) * random_fraction(t)));
}


std::uint64_t run_of(const upstream& u)
{
    return base::stable_hash(
        u.host_.value_, static_cast<std::uint64_t>(u.process_start_ms_));
}


// Requests that differ in a part only are different ones, also if that is the
// last part, which no other request has.
std::uint64_t content_of(const exchange& e)
{
    return e.fingerprint_ ^ e.prompt_hash_;
}


void log_quarantined(proxy_thread& t)
{
    for (const crashes::part_quarantine& q : t.part_tracker_.take_quarantined())
        crashes::log_quarantine(q);
}


void log_crashing_parts(
    const exchange& e, const crashes::part_set& parts, std::string_view outcome)
{
    base::event_line("crashing_part")
        .field("request", e.id_)
        .field("parts", crashes::to_text(parts))
        .field("outcome", outcome);
}


// Returns true when the request by itself crashes upstreams, whatever others
// have in common with it.
bool crashes_alone(const proxy_thread& t, const exchange& e)
{
    return t.crash_tracker_.crash_count(
               e.fingerprint_, base::boot_clock::now()) >=
           crash_tracker::max_crashes;
}

void record(proxy_thread& t, const possible_crash& crash)
{
    const base::time_point now = base::boot_clock::now();
    t.crash_tracker_.add(crash.report_, now);
    if (t.callbacks_.on_crash_)
        t.callbacks_.on_crash_(crash.report_);
    if (!crash.part_)
        return;
    crashes::part_crash part = *crash.part_;
    part.age_ = std::chrono::duration_cast<milliseconds>(now - crash.lost_at_);
    const crashes::part_report report =
        t.part_tracker_.add_crash(part, report_delay(t), now);
    log_quarantined(t);
    if (!report.empty() && t.callbacks_.on_part_report_)
        t.callbacks_.on_part_report_(report);
}

} // namespace

milliseconds response_age(const response_state& state)
{
    if (state.response_began_ == base::time_point())
        return milliseconds(0);
    return std::chrono::duration_cast<milliseconds>(
        base::boot_clock::now() - state.response_began_);
}


void record_possible_crash(
    proxy_thread& t,
    const exchange& e,
    const response_state& state,
    const upstream& target)
{
    if (e.stop_reason_ != stop_reason::none)
        return;
    possible_crash crash{
        {e.fingerprint_, target.host_, false}, {}, base::boot_clock::now()};
    // What crashes an upstream does so as the response begins.
    if (!e.prompt_parts_.empty() &&
        response_age(state) < crashes::part_tracker::max_crash_delay)
        crash.part_ = crashes::part_crash{
            e.prompt_parts_,
            run_of(target),
            content_of(e),
            state.response_began_ != base::time_point(),
            {}};
    if (!t.callbacks_.on_connection_lost_) {
        record(t, crash);
        return;
    }
    t.possible_crashes_.push_back(std::move(crash));
    t.callbacks_.on_connection_lost_(target.host_);
}


void resolve_losses(proxy_thread& t, const base::host_id& host, bool link_cut)
{
    std::vector<possible_crash> resolved;
    std::erase_if(t.possible_crashes_, [&](possible_crash& c) {
        if (c.report_.host_ != host)
            return false;
        resolved.push_back(std::move(c));
        return true;
    });
    if (link_cut)
        return;
    for (const possible_crash& c : resolved)
        record(t, c);
}


void expire_losses(proxy_thread& t, base::time_point now)
{
    std::vector<base::host_id> hosts;
    for (const possible_crash& c : t.possible_crashes_) {
        if (now - c.lost_at_ >= max_loss_check_time)
            hosts.push_back(c.report_.host_);
    }
    for (const base::host_id& host : hosts)
        resolve_losses(t, host, false);
}


void record_completion(
    proxy_thread& t,
    const exchange& e,
    const response_state& state,
    const upstream& target)
{
    const base::time_point now = base::boot_clock::now();
    if (t.crash_tracker_.mark_completed(e.fingerprint_, now) &&
        t.callbacks_.on_crash_)
        t.callbacks_.on_crash_({e.fingerprint_, {}, true});
    const bool succeeded =
        !state.buffered_response_ ||
        http::to_status_class(state.buffered_response_->result()) ==
            http::status_class::successful;
    // The end of a connection may be that of the upstream.
    if (succeeded && state.framing_ != body_framing::connection_close)
        t.part_tracker_.add_completion(e.prompt_parts_, run_of(target), now);
}


void apply_part_report(proxy_thread& t, const crashes::part_report& report)
{
    t.part_tracker_.apply(report, report_delay(t), base::boot_clock::now());
    log_quarantined(t);
}


bool crashes_upstreams(const proxy_thread& t, const exchange& e)
{
    const auto parts = t.part_tracker_.find_quarantined(
        e.prompt_parts_, base::boot_clock::now());
    if (parts)
        log_crashing_parts(e, *parts, "not_repeated");
    return parts || crashes_alone(t, e);
}


bool admit_crashing_request(proxy_thread& t, const exchange& e)
{
    if (crashes_alone(t, e))
        return false;
    const base::time_point now = base::boot_clock::now();
    const auto parts = t.part_tracker_.find_quarantined(e.prompt_parts_, now);
    if (!parts)
        return true;
    const bool admitted = t.part_tracker_.admit_trial(
        e.prompt_parts_, t.view_->daemons_, random_fraction(t), now);
    log_crashing_parts(e, *parts, admitted ? "trial" : "rejected");
    return admitted;
}

} // namespace monsoondock::relay::pvt
