#include "peek_socket.hpp"

#include <boost/asio/error.hpp>

#include <array>
#include <cerrno>
#include <sys/socket.h>

namespace monsoondock::relay::pvt {

namespace {

// Returns the number of bytes received, 0 for none.
std::size_t peek(
    boost::asio::ip::tcp::socket& socket,
    char* bytes,
    std::size_t size,
    boost::system::error_code& failure)
{
    const auto received =
        ::recv(socket.native_handle(), bytes, size, MSG_PEEK | MSG_DONTWAIT);
    failure = {};
    if (received > 0)
        return static_cast<std::size_t>(received);
    if (received == 0)
        failure = boost::asio::error::eof;
    else if (errno != EAGAIN && errno != EWOULDBLOCK)
        failure = {errno, boost::system::system_category()};
    return 0;
}

} // namespace

socket_content peek_socket(
    boost::asio::ip::tcp::socket& socket, boost::system::error_code& failure)
{
    char byte = 0;
    if (peek(socket, &byte, sizeof(byte), failure) > 0)
        return socket_content::bytes;
    return failure ? socket_content::end : socket_content::nothing;
}


std::string peek_text(
    boost::asio::ip::tcp::socket& socket, boost::system::error_code& failure)
{
    std::array<char, max_peeked_bytes> text{};
    const std::size_t size = peek(socket, text.data(), text.size(), failure);
    return {text.data(), size};
}

} // namespace monsoondock::relay::pvt
