#pragma once

#include "send_monitor.hpp"

#include <monsoondock/base/boot_clock.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <functional>
#include <memory>

namespace monsoondock::relay::pvt {

/// What the session of a caller is waiting for.
enum class caller_phase
{
    /// The first byte of a request.
    idle,
    header,
    body,
    /// The end of the exchange with upstreams.
    exchange
};


/// Connection of a caller.
struct caller_connection
{
    explicit caller_connection(boost::asio::ip::tcp::socket socket)
        : socket_(std::move(socket))
    {}

    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    caller_phase phase_ = caller_phase::idle;
    /// When the phase times out.
    base::time_point phase_deadline_ = base::time_point::max();
    /// True when the other end is a daemon that passes requests of its callers
    /// on.
    bool from_daemon_ = false;
    /// True when the phase has timed out.
    bool timed_out_ = false;
    /// True when the connection has carried a request.
    bool used_ = false;
    /// True when this side has closed the connection.
    bool half_closed_ = false;
    /// True while a wait for the socket to become readable is pending.
    bool read_wait_pending_ = false;
    /// True when the caller has closed the connection, or was disconnected.
    bool disconnected_ = false;
    /// Progress of what is sent to the caller.
    send_monitor sending_;
    /// Called once when the caller disconnects during an exchange.
    std::function<void()> on_disconnect_;
};


/// Starts watching for a disconnect. The watch ends when the caller sends more
/// data.
void watch_for_disconnect(const std::shared_ptr<caller_connection>& connection);


/// Resets the connection of a caller that does not read, so that its response
/// does not look complete, and ends its exchange.
void disconnect(caller_connection& connection);


/// Has the connection reset instead of closed in order, also by the kernel when
/// this process ends, or no longer. For a response whose end is the end of the
/// connection: until it is complete, nothing may look like its end.
void reset_on_close(caller_connection& connection, bool reset);


/// Closes an idle connection: ends this side and gives the caller a short time
/// to end the other, in which no request is read. A connection with unread
/// bytes stays open, since they are a request; a new one stays open for a short
/// time.
void close_when_idle(caller_connection& connection);

} // namespace monsoondock::relay::pvt
