#include <monsoondock/relay/availability.hpp>

#include <algorithm>

namespace monsoondock::relay {

namespace {

// Returns the share of an upstream that could be used again at a time.
double ramped_share(base::time_point since, base::time_point now)
{
    if (since == base::time_point())
        return 1;
    const std::chrono::duration<double, std::milli> passed = now - since;
    return std::min(1.0, passed.count() / double(ramp_time.count()));
}


base::time_point next_send(const upstream_state& s, base::time_point now)
{
    const auto next = [now](const hostlimits::host_limit& limit) {
        return hostlimits::next_send(limit, now)
            .value_or(now + unshared_limit_pause);
    };
    return std::max({s.paused_until_, next(s.limit_), next(s.cold_limit_)});
}

} // namespace

double usable_share(const upstream_state& s, base::time_point now)
{
    if (s.link_cut_ || s.leaving_ || now < s.paused_until_ ||
        !hostlimits::may_send(s.limit_, now) ||
        !hostlimits::may_send(s.cold_limit_, now))
        return 0;
    const double share = ramped_share(s.paused_until_, now);
    // A cold upstream gets what its limit allows.
    return now < s.cold_until_
               ? share
               : std::min(share, ramped_share(s.cold_until_, now));
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
        const base::time_point end = next_send(*s, now);
        if (end <= now)
            return std::nullopt;
        earliest = std::min(earliest.value_or(end), end);
    }
    return earliest;
}

} // namespace monsoondock::relay
