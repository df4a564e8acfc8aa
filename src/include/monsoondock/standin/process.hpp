#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace monsoondock::standin {

/// Parses the command line with gflags; "--help" and "--version" exit the
/// process.
void parse_command_line(int& argc, char**& argv, const std::string& usage);


/// Parses an endpoint of the form "address:port". Throws
/// boost::system::system_error when text is malformed.
boost::asio::ip::tcp::endpoint parse_endpoint(std::string_view text);


/// Prints "listening address=<address>" followed by rest. Test scripts read
/// this line to learn the port.
void announce(std::string_view address, std::string_view rest = "");


/// Runs context until SIGTERM or SIGINT, then exits the process with status 0.
[[noreturn]] void run_until_signal(boost::asio::io_context& context);

} // namespace monsoondock::standin
