#pragma once

#include "connection_pool.hpp"

#include <monsoondock/load/entry_list.hpp>
#include <monsoondock/load/run.hpp>

#include <boost/asio/awaitable.hpp>

namespace monsoondock::load::pvt {

/// State shared by all requests of one run.
struct client_state
{
    explicit client_state(const run_options& options)
        : options_(options), entry_lists_(options.workspaces_.size())
    {}

    const run_options& options_;
    connection_pool pool_;
    /// Latest entry hosts, by workspace index.
    std::vector<entry_list> entry_lists_;
};


/// Sends one request of the plan to the first reachable entry host and checks
/// its answer. Times are measured from due, the planned send time, so that
/// delays in the load tool itself count as well.
boost::asio::awaitable<outcome>
send_arrival(client_state& s, const arrival& a, base::time_point due);

} // namespace monsoondock::load::pvt
