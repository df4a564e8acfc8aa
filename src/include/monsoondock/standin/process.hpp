#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace monsoondock::standin {

/// Parses the command line with gflags; "--help" and "--version" end the
/// process as usual.
void parse_command_line(int& argc, char**& argv, const std::string& usage);


/// Returns the endpoint of "address:port". Throws
/// boost::system::system_error when text is not one.
boost::asio::ip::tcp::endpoint parse_endpoint(std::string_view text);


/// Prints "listening address=<address>" and the rest of the line.
void announce(std::string_view address, std::string_view rest = "");


/// Runs the context until SIGTERM or SIGINT, then ends the process with exit
/// status 0.
[[noreturn]] void run_until_signal(boost::asio::io_context& context);

} // namespace monsoondock::standin
