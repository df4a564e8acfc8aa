#include "plain_service.hpp"

#include <monsoondock/standin/process.hpp>
#include <monsoondock/standin/registration.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gflags/gflags.h>

DEFINE_string(
    listen,
    "127.0.0.1:0",
    "address and port to listen on; port 0 takes a free port");
DEFINE_string(deployment, "ledger-app", "name of the service");
DEFINE_string(host, "", "name of the host; empty: <deployment>-0");
DEFINE_string(data_centre, "heredia", "data centre of the host");
DEFINE_string(
    platform,
    "",
    "address of the platform to register with; empty: do not register");

namespace asio = boost::asio;
namespace standin = monsoondock::standin;
using monsoondock::service_standin::plain_service;

namespace {

std::string host_name()
{
    return FLAGS_host.empty() ? FLAGS_deployment + "-0" : FLAGS_host;
}


boost::json::object host_value(const plain_service& s)
{
    return {
        {"address", standin::address(s.server_)},
        {"data_centre", FLAGS_data_centre},
        {"fabric_domain", ""},
        {"kind", "service"},
        {"deployment", s.name_},
        {"state", "live"},
        {"accelerators", 0},
        {"checks_generation", false}};
}

} // namespace

int main(int argc, char** argv)
{
    standin::parse_command_line(
        argc,
        argv,
        "Simulates a plain service that counts the runs for each idempotency "
        "key, for tests and demos.");
    asio::io_context context(1);
    plain_service service{
        FLAGS_deployment,
        {context.get_executor(), standin::parse_endpoint(FLAGS_listen)},
        {},
        {}};
    const auto handle = [&](standin::exchange& e) {
        return handle_request(service, e);
    };
    asio::co_spawn(
        context, standin::serve(service.server_, handle), asio::detached);
    if (!FLAGS_platform.empty())
        asio::co_spawn(
            context,
            standin::register_host(
                standin::parse_endpoint(FLAGS_platform),
                host_name(),
                host_value(service)),
            asio::detached);
    standin::announce(standin::address(service.server_));
    standin::run_until_signal(context);
}
