#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/identifier.hpp>
#include <monsoondock/hostpace/pace_report.hpp>

#include <chrono>
#include <map>
#include <vector>

namespace monsoondock::entry::pvt {

/// Evidence of one or several daemons on the pace of upstreams.
using pace_reports = std::vector<hostpace::pace_report>;


/// Interval at which daemons report evidence, and relays send sums of it.
inline constexpr std::chrono::milliseconds pace_report_period{1000};


/// Sums of the evidence of many daemons, as kept by the relay of a data centre:
/// that of each daemon of its own data centre, and the sums that the relays of
/// the others have sent.
class pace_exchange
{
public:
    /// Evidence that was not reported again within this time is dropped.
    static constexpr std::chrono::milliseconds retention{2500};


    void set_daemon(
        const base::daemon_id& daemon,
        pace_reports reports,
        base::time_point now);


    void set_data_centre(
        const base::data_centre_id& data_centre,
        pace_reports reports,
        base::time_point now);


    /// Returns the sums over the daemons of the own data centre, as they count
    /// now.
    pace_reports own_sum(base::time_point now) const;


    /// Returns the sums over all other data centres.
    pace_reports other_sum(base::time_point now) const;

private:
    struct dated_reports
    {
        pace_reports reports_;
        base::time_point received_at_;
    };

    template <class Map>
    static pace_reports sum(const Map& sources, base::time_point now);

    std::map<base::daemon_id, dated_reports> daemons_;
    std::map<base::data_centre_id, dated_reports> data_centres_;
};


/// Removes reports whose evidence can't be used, and returns their number.
std::size_t remove_unusable(pace_reports& reports);

} // namespace monsoondock::entry::pvt
