#include "crash_records.hpp"

#include <monsoondock/base/event_line.hpp>
#include <monsoondock/base/stable_hash.hpp>

#include <boost/beast/http/status.hpp>

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


// Requests that differ in a part only are different ones, too.
std::uint64_t content_of(const exchange& e)
{
    return base::stable_hash(crashes::to_text(e.prompt_parts_), e.fingerprint_);
}


void log_quarantined(proxy_thread& t)
{
    for (const crashes::prompt_part part : t.part_tracker_.take_quarantined())
        base::event_line("part_quarantined", base::severity::warning)
            .field("part", crashes::to_text({part}));
}

// What crashes an upstream does so as the response begins.
void record_part_crash(
    proxy_thread& t,
    const exchange& e,
    const response_state& state,
    const upstream& target)
{
    if (e.prompt_parts_.empty() ||
        response_age(state) >= crashes::part_tracker::max_crash_delay)
        return;
    const bool begun = state.response_began_ != base::time_point();
    const crashes::part_report report = t.part_tracker_.add_crash(
        {e.prompt_parts_, run_of(target), content_of(e), begun},
        report_delay(t),
        base::boot_clock::now());
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
    const crash_report report{e.fingerprint_, target.host_, false};
    t.crash_tracker_.add(report, base::boot_clock::now());
    if (t.callbacks_.on_crash_)
        t.callbacks_.on_crash_(report);
    record_part_crash(t, e, state, target);
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
    const base::time_point now = base::boot_clock::now();
    const auto part = t.part_tracker_.find_quarantined(e.prompt_parts_, now);
    if (part)
        base::event_line("crashing_part")
            .field("request", e.id_)
            .field("part", crashes::to_text({*part}));
    return part || t.crash_tracker_.crash_count(e.fingerprint_, now) >=
                       crash_tracker::max_crashes;
}

} // namespace monsoondock::relay::pvt
