#include "caller_connection.hpp"

#include "peek_socket.hpp"

namespace monsoondock::relay::pvt {

namespace asio = boost::asio;

void watch_for_disconnect(const std::shared_ptr<caller_connection>& connection)
{
    if (connection->read_wait_pending_ || connection->disconnected_)
        return;
    connection->read_wait_pending_ = true;
    connection->socket_.async_wait(
        asio::ip::tcp::socket::wait_read,
        [connection](const boost::system::error_code& failure) {
            connection->read_wait_pending_ = false;
            if (failure ||
                peek_socket(connection->socket_) != socket_content::end)
                return;
            connection->disconnected_ = true;
            if (const auto callback =
                    std::exchange(connection->on_disconnect_, nullptr))
                callback();
        });
}

} // namespace monsoondock::relay::pvt
