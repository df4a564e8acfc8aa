#pragma once

#include <monsoondock/base/boot_clock.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <functional>
#include <memory>

namespace monsoondock::relay::pvt {

/// What the session of a caller waits for.
enum class link_phase
{
    idle,
    header,
    body,
    exchange
};


/// One connection of a caller.
struct caller_link
{
    explicit caller_link(boost::asio::ip::tcp::socket socket)
        : socket_(std::move(socket))
    {}

    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    link_phase phase_ = link_phase::idle;
    /// When the wait of the phase ends.
    base::time_point phase_end_ = base::time_point::max();
    /// The wait of the phase ended without result.
    bool timed_out_ = false;
    /// A wait for the caller's next bytes, or its leaving, is under way.
    bool watching_ = false;
    /// The caller closed its connection.
    bool left_ = false;
    /// Called once when the caller leaves during an exchange.
    std::function<void()> on_left_;
};


/// Watches for the caller's leaving until its next bytes come.
void watch_caller(const std::shared_ptr<caller_link>& link);

} // namespace monsoondock::relay::pvt
