#pragma once

#include "call_counts.hpp"
#include "faults.hpp"
#include "lagged_host_view.hpp"

#include <monsoondock/platform/memory_store.hpp>
#include <monsoondock/standin/exchange.hpp>

#include <boost/asio/steady_timer.hpp>

#include <list>

namespace monsoondock::platform_standin {

/// In-memory object store with its injected faults, request counters and
/// pending watches.
struct store_service
{
    platform::memory_store store_;
    lagged_host_view host_view_;
    faults faults_;
    call_counts counts_;
    /// Timers of the waiting watches; cancelled to wake them after each write
    /// and each change of the faults.
    std::list<boost::asio::steady_timer*> watch_timers_;
};


/// Handles one request to the object API or to the control API of the stand-in
/// (paths under /standin/).
boost::asio::awaitable<void>
handle_request(store_service& s, standin::exchange& e);

} // namespace monsoondock::platform_standin
