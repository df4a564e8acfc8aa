#include "caller_connection.hpp"

#include "peek_socket.hpp"

#include <monsoondock/base/reset_on_close.hpp>

#include <algorithm>

namespace monsoondock::relay::pvt {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds close_timeout{300};
// Time for the first request on a new connection.
constexpr std::chrono::milliseconds first_request_time{200};


void report_disconnect(caller_connection& connection)
{
    connection.disconnected_ = true;
    if (const auto callback = std::exchange(connection.on_disconnect_, nullptr))
        callback();
}

} // namespace

void close_when_idle(caller_connection& connection)
{
    boost::system::error_code ignored;
    if (peek_socket(connection.socket_, ignored) == socket_content::bytes)
        return;
    const base::time_point now = base::boot_clock::now();
    if (!connection.used_) {
        connection.phase_deadline_ =
            std::min(connection.phase_deadline_, now + first_request_time);
        return;
    }
    connection.socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    connection.half_closed_ = true;
    connection.phase_deadline_ = now + close_timeout;
}


void watch_for_disconnect(const std::shared_ptr<caller_connection>& connection)
{
    if (connection->read_wait_pending_ || connection->disconnected_)
        return;
    connection->read_wait_pending_ = true;
    connection->socket_.async_wait(
        asio::ip::tcp::socket::wait_read,
        [connection](const boost::system::error_code& failure) {
            connection->read_wait_pending_ = false;
            boost::system::error_code ignored;
            if (failure || peek_socket(connection->socket_, ignored) !=
                               socket_content::end)
                return;
            report_disconnect(*connection);
        });
}


void disconnect(caller_connection& connection)
{
    reset_on_close(connection, true);
    boost::system::error_code ignored;
    connection.socket_.close(ignored);
    report_disconnect(connection);
}


void reset_on_close(caller_connection& connection, bool reset)
{
    base::reset_on_close(connection.socket_, reset);
}

} // namespace monsoondock::relay::pvt
