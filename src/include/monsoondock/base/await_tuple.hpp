#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace monsoondock::base {

/// Completion token of Asio that returns the error code instead of throwing
/// it.
inline constexpr auto await_tuple =
    boost::asio::as_tuple(boost::asio::use_awaitable);

} // namespace monsoondock::base
