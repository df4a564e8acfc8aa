#pragma once

#include "control_state.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace monsoondock::daemon {

/// What to do with the objects of a prefix. All run on the control thread.
struct feed_handlers
{
    /// Replaces all that is known; called after each list.
    std::function<void(const platform::listing&)> reset_;
    /// Takes in one change.
    std::function<void(const platform::change&)> change_;
    /// Called once after each list and each batch of changes.
    std::function<void()> settled_;
};


/// Keeps a daemon informed of all objects under prefix: a list, then watches.
/// min_interval bounds how often the store is asked while changes stream in.
/// While the store is down it tries again with growing, jittered pauses; what
/// is known stays as it is. Never returns.
boost::asio::awaitable<void> follow_prefix(
    control_state& state,
    std::string prefix,
    feed_handlers handlers,
    std::chrono::milliseconds min_interval);

} // namespace monsoondock::daemon
