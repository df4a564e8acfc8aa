#include <monsoondock/base/reset_on_close.hpp>

#include <sys/socket.h>

namespace monsoondock::base {

void reset_on_close(boost::asio::ip::tcp::socket& socket, bool reset)
{
    // Not set_option: the destructor of a socket undoes what it has set.
    const ::linger option{reset ? 1 : 0, 0};
    ::setsockopt(
        socket.native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

} // namespace monsoondock::base
