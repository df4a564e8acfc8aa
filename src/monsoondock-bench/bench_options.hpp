#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>

namespace monsoondock::bench {

/// What one role of the benchmark does.
struct bench_options
{
    /// Address to listen on.
    boost::asio::ip::tcp::endpoint listen_;
    /// Address to connect to.
    boost::asio::ip::tcp::endpoint target_;
    /// Streams that the client keeps open.
    std::uint32_t streams_ = 1;
    /// Tokens of each answer.
    std::uint32_t tokens_ = 64;
    /// Time between two tokens of an answer.
    std::chrono::milliseconds token_interval_{68};
    /// Time that the client measures, after a second of warm-up.
    std::chrono::seconds length_{5};
};

} // namespace monsoondock::bench
