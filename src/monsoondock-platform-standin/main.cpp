#include "store_service.hpp"

#include <monsoondock/standin/http_server.hpp>
#include <monsoondock/standin/process.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gflags/gflags.h>

DEFINE_string(
    listen,
    "127.0.0.1:0",
    "address and port to listen on; port 0 takes a free port");

namespace asio = boost::asio;
namespace standin = monsoondock::standin;
using monsoondock::platform_standin::store_service;


int main(int argc, char** argv)
{
    standin::parse_command_line(
        argc,
        argv,
        "In-memory implementation of the platform's object API, for tests and "
        "demos.");
    asio::io_context context(1);
    store_service service;
    standin::http_server server(
        context.get_executor(), standin::parse_endpoint(FLAGS_listen));
    const auto handle = [&](standin::exchange& e) {
        return handle_request(service, e);
    };
    asio::co_spawn(context, standin::serve(server, handle), asio::detached);
    standin::announce(standin::address(server));
    standin::run_until_signal(context);
}
