#include <monsoondock/relay/availability.hpp>

#include <algorithm>

namespace monsoondock::relay {

double usable_share(const upstream_state& s, base::time_point now)
{
    if (s.link_cut_ || s.leaving_ || now < s.paused_until_ ||
        !hostlimits::may_send(s.limit_, now))
        return 0;
    if (s.paused_until_ == base::time_point())
        return 1;
    const std::chrono::duration<double, std::milli> passed =
        now - s.paused_until_;
    return std::min(1.0, passed.count() / double(ramp_time.count()));
}


std::optional<base::time_point> earliest_pause_end(
    const std::vector<upstream>& all,
    const upstream_table& table,
    const std::string& model,
    base::time_point now)
{
    std::optional<base::time_point> earliest;
    for (const upstream& u : all) {
        if (u.model_ != model)
            continue;
        const upstream_state* s = table.find(u.host_);
        if (s == nullptr)
            return std::nullopt;
        if (s->leaving_ || s->link_cut_)
            continue;
        const base::time_point end = std::max(
            s->paused_until_,
            hostlimits::next_send(s->limit_, now)
                .value_or(now + unshared_limit_pause));
        if (end <= now)
            return std::nullopt;
        earliest = std::min(earliest.value_or(end), end);
    }
    return earliest;
}

} // namespace monsoondock::relay
