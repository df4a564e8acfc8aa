#include "engine_host.hpp"

#include <monsoondock/standin/process.hpp>
#include <monsoondock/standin/registration.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gflags/gflags.h>

DEFINE_string(
    listen,
    "127.0.0.1:0",
    "address and port of the first host; further hosts use the following "
    "ports; with port 0 each host takes a free port");
DEFINE_uint32(count, 1, "number of hosts");
DEFINE_string(
    host_prefix, "h", "prefix of the host names, followed by a number");
DEFINE_uint32(first_host, 0, "number of the first host");
DEFINE_string(data_centre, "heredia", "data centre of the hosts");
DEFINE_string(fabric_domain, "heredia-a", "fabric domain of the hosts");
DEFINE_uint32(accelerators, 4, "number of accelerators of each host");
DEFINE_string(
    platform,
    "",
    "address of the platform to register with; empty: do not register");
DEFINE_bool(
    ignore_generation, false, "accept orders and requests of any generation");
DEFINE_uint32(slots, 32, "maximum number of concurrent requests of a group");
DEFINE_uint32(
    prefix_cache,
    64,
    "capacity of the prefix cache of a host, in prompt prefixes");
DEFINE_uint32(token_ms, 20, "milliseconds between two tokens");
DEFINE_uint32(
    first_token_ms,
    50,
    "milliseconds to the first token, without a cached prefix");
DEFINE_uint32(load_ms, 50, "milliseconds to load a model");

namespace asio = boost::asio;
namespace standin = monsoondock::standin;
using monsoondock::engine_standin::engine_host;
using monsoondock::engine_standin::faults;

namespace {

faults initial_faults()
{
    faults f;
    f.token_time_ = std::chrono::milliseconds(FLAGS_token_ms);
    f.first_token_time_ = std::chrono::milliseconds(FLAGS_first_token_ms);
    f.ignore_generation_ = FLAGS_ignore_generation;
    return f;
}


asio::ip::tcp::endpoint endpoint_of(std::uint32_t position)
{
    auto endpoint = standin::parse_endpoint(FLAGS_listen);
    if (endpoint.port() != 0)
        endpoint.port(static_cast<std::uint16_t>(endpoint.port() + position));
    return endpoint;
}


boost::json::object host_value(const engine_host& h)
{
    return {
        {"address", standin::address(h.server_)},
        {"data_centre", FLAGS_data_centre},
        {"fabric_domain", FLAGS_fabric_domain},
        {"kind", "model"},
        {"state", "live"},
        {"accelerators", FLAGS_accelerators},
        {"checks_generation", !h.faults_.ignore_generation_}};
}


engine_host& add_host(
    std::list<engine_host>& hosts,
    asio::io_context& context,
    std::uint32_t position)
{
    hosts.push_back(engine_host{
        FLAGS_host_prefix + std::to_string(FLAGS_first_host + position),
        {context.get_executor(), endpoint_of(position)},
        initial_faults(),
        std::chrono::milliseconds(FLAGS_load_ms),
        {FLAGS_slots, 0, {}},
        monsoondock::engine_standin::prefix_cache(FLAGS_prefix_cache),
        hosts});
    return hosts.back();
}


void start(engine_host& h, asio::io_context& context)
{
    const auto handle = [&h](standin::exchange& e) {
        return handle_request(h, e);
    };
    asio::co_spawn(context, standin::serve(h.server_, handle), asio::detached);
    standin::announce(standin::address(h.server_), " host=" + h.id_);
    if (FLAGS_platform.empty())
        return;
    const auto platform = standin::parse_endpoint(FLAGS_platform);
    asio::co_spawn(
        context,
        standin::register_host(platform, h.id_, host_value(h)),
        asio::detached);
}

} // namespace

int main(int argc, char** argv)
{
    standin::parse_command_line(
        argc,
        argv,
        "Simulates the model engines of one or more hosts, for tests and "
        "demos.");
    asio::io_context context(1);
    std::list<engine_host> hosts;
    for (std::uint32_t i = 0; i < FLAGS_count; ++i)
        start(add_host(hosts, context, i), context);
    standin::run_until_signal(context);
}
