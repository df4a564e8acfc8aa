#pragma once

#include "call_counts.hpp"
#include "faults.hpp"
#include "host_list.hpp"

#include <monsoondock/platform/memory_store.hpp>
#include <monsoondock/standin/exchange.hpp>

#include <boost/asio/steady_timer.hpp>

#include <list>

namespace monsoondock::platform_standin {

/// The store, its faults and the calls that wait for a change.
struct store_service
{
    platform::memory_store store_;
    host_list hosts_;
    faults faults_;
    call_counts counts_;
    /// Watches that wait; cancelled at each write and change of the faults.
    std::list<boost::asio::steady_timer*> waiting_;
};


/// Answers one call of the object API or of the stand-in's own controls.
boost::asio::awaitable<void> answer(store_service& s, standin::exchange& e);

} // namespace monsoondock::platform_standin
