#pragma once

#include <boost/asio/awaitable.hpp>

#include <chrono>

namespace monsoondock::standin {

/// Suspends the coroutine for length; returns immediately when it is zero.
boost::asio::awaitable<void> sleep_for(std::chrono::milliseconds length);

} // namespace monsoondock::standin
