#include <monsoondock/base/keepalive_options.hpp>

#include <netinet/tcp.h>

namespace monsoondock::base {

namespace asio = boost::asio;

void enable_keepalive(
    asio::ip::tcp::socket& socket, const keepalive_options& options)
{
    using asio::detail::socket_option::integer;
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(
        integer<IPPROTO_TCP, TCP_KEEPIDLE>(
            static_cast<int>(options.idle_.count())),
        ignored);
    socket.set_option(
        integer<IPPROTO_TCP, TCP_KEEPINTVL>(
            static_cast<int>(options.interval_.count())),
        ignored);
    socket.set_option(
        integer<IPPROTO_TCP, TCP_KEEPCNT>(options.probes_), ignored);
    socket.set_option(
        integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(
            static_cast<int>(options.user_timeout_.count())),
        ignored);
}

} // namespace monsoondock::base
