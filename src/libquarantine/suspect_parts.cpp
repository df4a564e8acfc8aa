#include "run_of.hpp"

#include <monsoondock/quarantine/suspect_registry.hpp>

#include <algorithm>
#include <utility>

namespace monsoondock::quarantine {

// Exchange of what is known of parts of prompts, through the store.

namespace {

// Adds what a report says of quarantined and completed parts.
void append(crashes::part_report& to, const crashes::part_report& from)
{
    to.quarantined_.insert(
        to.quarantined_.end(),
        from.quarantined_.begin(),
        from.quarantined_.end());
    to.survivors_.insert(
        to.survivors_.end(), from.survivors_.begin(), from.survivors_.end());
}

} // namespace

std::chrono::milliseconds suspect_registry::part_report_delay() const
{
    const auto spread =
        static_cast<std::uint64_t>(timing_.part_report_spread_.count());
    return std::chrono::milliseconds(
        base::stable_hash(token_prefix_) % std::max<std::uint64_t>(1, spread));
}


// Takes what other daemons have recorded: the losses in suspect records, and
// the part record.
void suspect_registry::apply_recorded_parts(clock_reading now)
{
    crashes::part_report report =
        news_since(applied_parts_, feed_.parts(), now.wall_);
    applied_parts_ = feed_.parts();
    for (const auto& [fingerprint, stored] : feed_.all()) {
        const suspect_record& record = stored.record_;
        if (stored.version_ <= applied_version_)
            continue;
        const auto age =
            std::max(std::chrono::milliseconds(0), now.wall_ - record.lost_at_);
        if (age > crashes::part_tracker::crash_memory)
            continue;
        for (const group_instance& group : record.lost_)
            for (const crashes::prompt_part part : record.parts_)
                report.crashes_.push_back(
                    {part,
                     pvt::run_of(group),
                     base::stable_hash(fingerprint.value_),
                     false,
                     age});
    }
    applied_version_ = feed_.version();
    part_tracker_.apply(report, part_report_delay(), now.boot_);
}


void suspect_registry::write_parts(clock_reading now)
{
    const crashes::part_report due = part_tracker_.take_report(now.boot_);
    append(unrecorded_parts_, due);
    if (unrecorded_parts_.empty() || parts_call_ ||
        now.boot_ < next_parts_write_)
        return;
    part_record target = feed_.parts();
    update(target, unrecorded_parts_, now.wall_);
    pending_parts_ = std::exchange(unrecorded_parts_, {});
    next_parts_write_ = now.boot_ + timing_.part_report_spread_;
    if (target == feed_.parts())
        return;
    platform::write_condition condition = platform::if_absent{};
    if (feed_.parts_version())
        condition = platform::if_version{*feed_.parts_version()};
    parts_call_ = next_call();
    commands_.emplace_back(put_suspect{
        *parts_call_, std::string(PART_RECORD_KEY), encode(target), condition});
}


// Anything but success is tried again on the then latest record.
void suspect_registry::parts_answered(
    const platform::write_outcome& outcome, clock_reading now)
{
    parts_call_.reset();
    if (std::holds_alternative<platform::written>(outcome))
        return;
    if (std::holds_alternative<platform::not_reached>(outcome))
        next_parts_write_ = now.boot_ + timing_.max_write_backoff_;
    append(unrecorded_parts_, pending_parts_);
}

} // namespace monsoondock::quarantine
