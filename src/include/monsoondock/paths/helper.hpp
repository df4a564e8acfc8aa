#pragma once

#include <monsoondock/base/identifier.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

namespace monsoondock::paths {

/// Daemon that may serve the requests of one without links to the upstreams.
struct helper
{
    base::daemon_id daemon_;
    base::data_centre_id data_centre_;
    /// Where it accepts requests of other daemons.
    boost::asio::ip::tcp::endpoint address_;
    /// Processor capacity, in any unit.
    double capacity_ = 1;
};


/// Part of its own load that a daemon takes on at most for daemons of its data
/// centre, as long as there are helpers elsewhere.
inline constexpr double max_local_extra_load = 0.5;


/// Daemons that can serve the requests of others.
struct helper_list
{
    std::vector<helper> helpers_;
    /// Capacity of the daemons without links in the data centre of this one,
    /// this one included.
    double local_capacity_without_links_ = 0;
};


/// Chooses a helper and returns its index, or nothing when there is none that
/// is not excluded. Helpers of the local data centre are chosen first, and then
/// all others, each with a probability proportional to its capacity: a data
/// centre may lose its links at once, and few helpers must not get the
/// requests of many daemons. random is uniform in [0, 1).
std::optional<std::size_t> choose_helper(
    const helper_list& list,
    const base::data_centre_id& local_data_centre,
    const std::set<base::daemon_id>& excluded,
    double random);

} // namespace monsoondock::paths
