#pragma once

#include "control_state.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace monsoondock::daemon {

/// Callbacks for the objects under a prefix. All run on the control thread.
struct feed_handlers
{
    /// Called with the result of each list, which replaces everything known.
    std::function<void(const platform::listing&)> on_list_;
    /// Called for each change.
    std::function<void(const platform::change&)> on_change_;
    /// Called once after each list and each batch of changes.
    std::function<void()> on_batch_end_;
};


/// Reports all objects under prefix and their changes to handlers: lists them
/// once, then watches for changes. min_interval is the shortest time between
/// two watches when changes keep coming in. When the store fails, lists again
/// after an exponential back-off with jitter; no handler is called until then.
/// Never returns.
boost::asio::awaitable<void> follow_prefix(
    control_state& state,
    std::string prefix,
    feed_handlers handlers,
    std::chrono::milliseconds min_interval);

} // namespace monsoondock::daemon
