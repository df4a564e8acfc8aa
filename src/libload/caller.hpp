#pragma once

#include "connection_pool.hpp"

#include <monsoondock/load/entry_list.hpp>
#include <monsoondock/load/run.hpp>

#include <boost/asio/awaitable.hpp>

namespace monsoondock::load::pvt {

/// What the callers of one run share.
struct caller_state
{
    explicit caller_state(const run_options& options)
        : options_(options), lists_(options.workspaces_.size())
    {}

    const run_options& options_;
    connection_pool pool_;
    /// Entry hosts by workspace, as last answered.
    std::vector<entry_list> lists_;
};


/// Sends one request of the plan, due at the time given, to the best entry
/// host that can be reached, and checks its answer.
boost::asio::awaitable<outcome>
call(caller_state& s, const arrival& a, base::time_point due);

} // namespace monsoondock::load::pvt
