#include "crashing_parts.hpp"

#include <monsoondock/base/event_line.hpp>
#include <monsoondock/base/stable_hash.hpp>

namespace monsoondock::relay::pvt {

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

} // namespace

void record_part_crash(
    proxy_thread& t,
    const exchange& e,
    const response_state& state,
    const upstream& target)
{
    const base::time_point now = base::boot_clock::now();
    const bool begun = state.response_began_ != base::time_point();
    if (e.prompt_parts_.empty())
        return;
    const crashes::part_report report = t.part_tracker_.add_crash(
        {e.prompt_parts_, run_of(target), content_of(e), begun},
        report_delay(t),
        now);
    log_quarantined(t);
    if (!report.empty() && t.callbacks_.on_part_report_)
        t.callbacks_.on_part_report_(report);
}


void record_part_completion(
    proxy_thread& t, const exchange& e, const upstream& target)
{
    t.part_tracker_.add_completion(
        e.prompt_parts_, run_of(target), base::boot_clock::now());
}


void apply_part_report(proxy_thread& t, const crashes::part_report& report)
{
    t.part_tracker_.apply(report, report_delay(t), base::boot_clock::now());
    log_quarantined(t);
}


std::optional<crashes::prompt_part>
find_crashing_part(const proxy_thread& t, const exchange& e)
{
    return t.part_tracker_.find_quarantined(
        e.prompt_parts_, base::boot_clock::now());
}

} // namespace monsoondock::relay::pvt
