#include "load_exchange.hpp"

#include <algorithm>

namespace monsoondock::entry::pvt {

void load_exchange::set_daemon(
    const base::daemon_id& daemon, load_table loads, base::time_point now)
{
    daemons_[daemon] = {std::move(loads), now};
}


void load_exchange::set_data_centre(
    const base::data_centre_id& data_centre,
    load_table loads,
    base::time_point now)
{
    data_centres_[data_centre] = {std::move(loads), now};
}


template <class Map>
load_table load_exchange::sum(const Map& reports, base::time_point now)
{
    load_table total;
    for (const auto& [source, report] : reports) {
        if (now - report.received_at_ > retention)
            continue;
        for (const auto& [host, count] : report.loads_)
            total[host] += count;
    }
    return total;
}


load_table load_exchange::own_sum(base::time_point now) const
{
    return sum(daemons_, now);
}


load_table load_exchange::other_sum(base::time_point now) const
{
    return sum(data_centres_, now);
}


load_table subtract(load_table loads, const load_table& reported)
{
    for (const auto& [host, count] : reported) {
        const auto found = loads.find(host);
        if (found == loads.end())
            continue;
        found->second -= std::min(found->second, count);
        if (found->second == 0)
            loads.erase(found);
    }
    return loads;
}

} // namespace monsoondock::entry::pvt
