#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace monsoondock::relay::pvt {

/// Limits the time for which a connection of a caller or to an upstream stays
/// open after the other end has failed: about 3 s after the last byte. Where
/// the system tells the progress of what is sent, send_monitor finds ends that
/// fail while bytes are being sent to them; elsewhere TCP_USER_TIMEOUT does,
/// which also ends connections whose other end reads slowly.
void bound_connection(boost::asio::ip::tcp::socket& socket);

} // namespace monsoondock::relay::pvt
