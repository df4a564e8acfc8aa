#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/identifier.hpp>

#include <chrono>
#include <map>
#include <unordered_map>

namespace monsoondock::entry::pvt {

/// Requests in progress, by upstream host.
using load_table = std::unordered_map<base::host_id, unsigned>;


/// Interval at which daemons of a small cluster report their requests in
/// progress to each other; about a sixth of the duration of a stream.
inline constexpr std::chrono::milliseconds direct_report_period{150};

/// Interval at which daemons report to their relay, and relays send sums. It is
/// shorter because a load passes both before it is known. A daemon sends and
/// receives one message each in this time, however many daemons there are; a
/// relay as many as its data centre has daemons.
inline constexpr std::chrono::milliseconds relayed_report_period{100};


/// Sums of the loads of many daemons, as kept by the relay of a data centre:
/// the loads of each daemon of its own data centre, and the sums that the
/// relays of the others have sent.
class load_exchange
{
public:
    /// Loads that were not reported again within this time are dropped: the
    /// daemon or relay that reported them is gone, or reports elsewhere.
    static constexpr std::chrono::milliseconds retention{2500};


    void set_daemon(
        const base::daemon_id& daemon, load_table loads, base::time_point now);


    void set_data_centre(
        const base::data_centre_id& data_centre,
        load_table loads,
        base::time_point now);


    /// Returns the sum over the daemons of the own data centre.
    load_table own_sum(base::time_point now) const;


    /// Returns the sum over all other data centres.
    load_table other_sum(base::time_point now) const;

private:
    struct report
    {
        load_table loads_;
        base::time_point received_at_;
    };

    template <class Map>
    static load_table sum(const Map& reports, base::time_point now);

    std::map<base::daemon_id, report> daemons_;
    std::map<base::data_centre_id, report> data_centres_;
};


/// Returns loads without the part that a daemon has reported itself; a count
/// does not fall below 0.
load_table subtract(load_table loads, const load_table& reported);

} // namespace monsoondock::entry::pvt
