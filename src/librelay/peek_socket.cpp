#include "peek_socket.hpp"

#include <array>
#include <cerrno>
#include <sys/socket.h>

namespace monsoondock::relay::pvt {

socket_content peek_socket(boost::asio::ip::tcp::socket& socket)
{
    char byte = 0;
    const auto received = ::recv(
        socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    if (received > 0)
        return socket_content::bytes;
    const bool empty =
        received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return empty ? socket_content::nothing : socket_content::end;
}


std::string peek_text(boost::asio::ip::tcp::socket& socket)
{
    std::array<char, max_peeked_bytes> text{};
    const auto received = ::recv(
        socket.native_handle(),
        text.data(),
        text.size(),
        MSG_PEEK | MSG_DONTWAIT);
    return received > 0 ? std::string(text.data(), std::size_t(received))
                        : std::string();
}

} // namespace monsoondock::relay::pvt
