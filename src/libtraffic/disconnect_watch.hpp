#pragma once

#include "caller_connection.hpp"

#include <boost/asio/awaitable.hpp>

namespace monsoondock::traffic::pvt {

/// Completes when the caller closes its connection; never completes while it
/// is open. Bytes of a pipelined request are left unread.
boost::asio::awaitable<void> wait_for_disconnect(caller_connection& caller);

} // namespace monsoondock::traffic::pvt
