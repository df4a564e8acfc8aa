#include "store_service.hpp"

#include <monsoondock/standin/http_server.hpp>
#include <monsoondock/standin/process.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "address and port; port 0: a free one");

namespace asio = boost::asio;
namespace standin = monsoondock::standin;
using monsoondock::platform_standin::store_service;


int main(int argc, char** argv)
{
    standin::parse_command_line(
        argc, argv, "Platform's object API in memory, for tests and demo.");
    asio::io_context context(1);
    store_service service;
    standin::http_server server(
        context.get_executor(), standin::parse_endpoint(FLAGS_listen));
    const auto handle = [&](standin::exchange& e) {
        return answer(service, e);
    };
    asio::co_spawn(context, standin::serve(server, handle), asio::detached);
    standin::announce(standin::address(server));
    standin::run_until_signal(context);
}
