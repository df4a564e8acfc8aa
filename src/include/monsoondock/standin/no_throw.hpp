#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace monsoondock::standin {

/// Completion token that returns the error of an operation as a value.
inline constexpr auto NO_THROW =
    boost::asio::as_tuple(boost::asio::use_awaitable);

} // namespace monsoondock::standin
