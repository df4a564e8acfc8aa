#include "connection_bounds.hpp"

#include "send_state.hpp"

#include <monsoondock/base/keepalive_options.hpp>

#include <chrono>

namespace monsoondock::relay::pvt {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::keepalive_options with_send_monitor{
    seconds(2), seconds(1), 1, milliseconds(0)};
constexpr base::keepalive_options without_send_monitor{
    seconds(2), seconds(1), 3, milliseconds(3000)};

} // namespace

void bound_connection(boost::asio::ip::tcp::socket& socket)
{
    const bool monitored = read_send_state(socket.native_handle()).has_value();
    base::enable_keepalive(
        socket, monitored ? with_send_monitor : without_send_monitor);
}

} // namespace monsoondock::relay::pvt
