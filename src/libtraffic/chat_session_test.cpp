#include "chat_session_test.hpp"

#include <criterion/criterion.h>

namespace monsoondock::traffic::test {

test_server::test_server()
{
    publish(base::time_point::max());
    tcp::acceptor port(context_, {boost::asio::ip::address_v4::loopback(), 0});
    const tcp::endpoint address = port.local_endpoint();
    port.close();
    cr_assert(base::ok(server_.start(address, 1)));
    socket_.connect(address);
}

} // namespace monsoondock::traffic::test
