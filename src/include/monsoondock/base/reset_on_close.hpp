#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace monsoondock::base {

/// Has a connection reset instead of closed in order, or no longer: by a close,
/// by the destructor of the socket, and by the kernel when the process ends.
/// For a response whose end is the end of the connection: until it is complete,
/// nothing may look like its end.
void reset_on_close(boost::asio::ip::tcp::socket& socket, bool reset);

} // namespace monsoondock::base
