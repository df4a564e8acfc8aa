#include <monsoondock/standin/process.hpp>

#include <boost/asio/signal_set.hpp>
#include <boost/system/system_error.hpp>
#include <gflags/gflags.h>

#include <charconv>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace monsoondock::standin {

namespace asio = boost::asio;

namespace {

[[noreturn]] void throw_malformed_endpoint()
{
    throw boost::system::system_error(
        make_error_code(boost::system::errc::invalid_argument),
        "expected an endpoint of the form <IP address>:<port>");
}


std::uint16_t parse_port(std::string_view text)
{
    std::uint16_t port = 0;
    const char* last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, port);
    if (error != std::errc{} || end != last)
        throw_malformed_endpoint();
    return port;
}

} // namespace

void parse_command_line(int& argc, char**& argv, const std::string& usage)
{
    gflags::SetUsageMessage(usage);
    gflags::SetVersionString(MONSOONDOCK_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
}


asio::ip::tcp::endpoint parse_endpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        throw_malformed_endpoint();
    const std::string address(text.substr(0, colon));
    return {
        asio::ip::make_address(address), parse_port(text.substr(colon + 1))};
}


void announce(std::string_view address, std::string_view rest)
{
    std::cout << "listening address=" << address << rest << std::endl;
}


void run_until_signal(asio::io_context& context)
{
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto, int) { context.stop(); });
    context.run();
    // Suspended coroutines refer to objects in main; quick_exit avoids
    // destroying either.
    std::quick_exit(0);
}

} // namespace monsoondock::standin
