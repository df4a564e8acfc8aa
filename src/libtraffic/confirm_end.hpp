#pragma once

#include <monsoondock/base/body_end.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <string_view>

namespace monsoondock::traffic::pvt {

/// Returns what is known of the end of a body that has been received as it was
/// framed.
base::body_end end_of_body(base::body_framing framing, std::string_view body);


/// Completes the evidence where the connection alone ended the body: finds out
/// whether the host still accepts connections.
boost::asio::awaitable<base::body_end> confirm_end(
    base::body_end end,
    boost::asio::ip::tcp::endpoint host,
    std::chrono::milliseconds connect_timeout);

} // namespace monsoondock::traffic::pvt
