#pragma once

#include "fake_engine_test.hpp"

#include <monsoondock/traffic/server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <string>

namespace monsoondock::traffic::test {

/// Response to a completion as received by a caller.
struct caller_response
{
    unsigned status_ = 0;
    std::string text_;
    /// True when the stream ended with its [DONE] event and its last chunk.
    bool complete_ = false;
    std::string body_;
};


/// Returns limits that no test reaches.
limits make_limits();


/// A server with two fake engines, and a caller with one connection to it.
struct server_session
{
    explicit server_session(
        const limits& bounds = make_limits(),
        admin_handler admin = {},
        const claim_options& claims = {});


    /// Publishes a snapshot with the given number of groups, of which the first
    /// is that of first_.
    void publish(
        base::time_point fresh_until = base::time_point::max(), int groups = 2);


    /// Has probes show that the groups are ready, as the control thread does
    /// some time after a rejection.
    void confirm_groups();


    void inject_faults(engine_fault fault, int count);


    /// Returns the text of a request for a streamed completion.
    static std::string make_chat(const std::string& prompt);


    /// Sends a completion and receives its response.
    caller_response complete_chat(const std::string& prompt);


    /// Receives one response, or the part of it that has come.
    caller_response receive();


    /// Connects another caller.
    boost::asio::ip::tcp::socket connect();

    fake_engine first_;
    fake_engine second_;
    snapshot_holder snapshots_;
    metrics::registry metrics_;
    server server_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::endpoint address_;
    boost::asio::ip::tcp::socket socket_{context_};
    boost::beast::flat_buffer buffer_;
    /// Groups of the latest snapshot.
    std::vector<group_row> groups_;
};

} // namespace monsoondock::traffic::test
