#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace monsoondock::base {

/// Asio completion token for coroutines: co_await returns the error code and
/// results as a tuple instead of throwing.
inline constexpr auto await_tuple =
    boost::asio::as_tuple(boost::asio::use_awaitable);

} // namespace monsoondock::base
