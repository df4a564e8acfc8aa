#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>

namespace monsoondock::bench {

/// Options of one role of the benchmark.
struct bench_options
{
    /// Address to listen on.
    boost::asio::ip::tcp::endpoint listen_;
    /// Address to connect to.
    boost::asio::ip::tcp::endpoint target_;
    /// Number of concurrent streams of the client.
    std::uint32_t streams_ = 1;
    /// Number of tokens in each response.
    std::uint32_t tokens_ = 64;
    /// Interval between two tokens of a response.
    std::chrono::milliseconds token_interval_{68};
    /// Length of the client's measurement window, which follows the warm-up.
    std::chrono::seconds measurement_time_{5};
};

} // namespace monsoondock::bench
