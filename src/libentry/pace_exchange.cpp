#include "pace_exchange.hpp"

namespace monsoondock::entry::pvt {

void pace_exchange::set_daemon(
    const base::daemon_id& daemon, pace_reports reports, base::time_point now)
{
    std::erase_if(daemons_, [now](const auto& entry) {
        return now - entry.second.received_at_ > retention;
    });
    daemons_[daemon] = {std::move(reports), now};
}


void pace_exchange::set_data_centre(
    const base::data_centre_id& data_centre,
    pace_reports reports,
    base::time_point now)
{
    std::erase_if(data_centres_, [now](const auto& entry) {
        return now - entry.second.received_at_ > retention;
    });
    data_centres_[data_centre] = {std::move(reports), now};
}


template <class Map>
pace_reports pace_exchange::sum(const Map& sources, base::time_point now)
{
    std::map<std::pair<base::host_id, std::int64_t>, hostpace::pace_sums> sums;
    for (const auto& [source, dated] : sources) {
        const auto age = now - dated.received_at_;
        if (age > retention)
            continue;
        for (const hostpace::pace_report& r : dated.reports_)
            hostpace::add(
                sums[{r.host_, r.process_start_ms_}],
                hostpace::decayed(r.sums_, age));
    }
    pace_reports result;
    for (const auto& [host_and_process, total] : sums)
        result.push_back(
            {host_and_process.first, host_and_process.second, total});
    return result;
}


pace_reports pace_exchange::own_sum(base::time_point now) const
{
    return sum(daemons_, now);
}


pace_reports pace_exchange::other_sum(base::time_point now) const
{
    return sum(data_centres_, now);
}


std::size_t remove_unusable(pace_reports& reports)
{
    return std::erase_if(reports, [](const hostpace::pace_report& r) {
        return r.host_.value_.empty() || !hostpace::is_valid(r.sums_);
    });
}

} // namespace monsoondock::entry::pvt
