#include "socket_options.hpp"

#include <netinet/tcp.h>

namespace monsoondock::relay::pvt {

namespace asio = boost::asio;

namespace {

constexpr int probe_idle_s = 2;
constexpr int probe_interval_s = 1;
constexpr int probe_count = 3;
constexpr int unacknowledged_ms = 3000;

} // namespace

void set_connection_options(asio::ip::tcp::socket& socket)
{
    using asio::detail::socket_option::integer;
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(
        integer<IPPROTO_TCP, TCP_KEEPIDLE>(probe_idle_s), ignored);
    socket.set_option(
        integer<IPPROTO_TCP, TCP_KEEPINTVL>(probe_interval_s), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(probe_count), ignored);
    socket.set_option(
        integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(unacknowledged_ms), ignored);
}

} // namespace monsoondock::relay::pvt
