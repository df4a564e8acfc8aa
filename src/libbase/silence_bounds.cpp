#include <monsoondock/base/silence_bounds.hpp>

#include <netinet/tcp.h>

namespace monsoondock::base {

namespace asio = boost::asio;

void detect_silence(asio::ip::tcp::socket& socket, const silence_bounds& bounds)
{
    using asio::detail::socket_option::integer;
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(
        integer<IPPROTO_TCP, TCP_KEEPIDLE>(
            static_cast<int>(bounds.idle_.count())),
        ignored);
    socket.set_option(
        integer<IPPROTO_TCP, TCP_KEEPINTVL>(
            static_cast<int>(bounds.interval_.count())),
        ignored);
    socket.set_option(
        integer<IPPROTO_TCP, TCP_KEEPCNT>(bounds.probes_), ignored);
    socket.set_option(
        integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(
            static_cast<int>(bounds.unacknowledged_.count())),
        ignored);
}

} // namespace monsoondock::base
