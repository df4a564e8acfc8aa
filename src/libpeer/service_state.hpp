#pragma once

#include <monsoondock/peer/service.hpp>
#include <monsoondock/wire/opener.hpp>
#include <monsoondock/wire/sealer.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>

namespace monsoondock::peer::pvt {

/// Everything that a service keeps. Its coroutines share the ownership.
struct service_state
{
    service_state(
        const boost::asio::any_io_executor& executor,
        peer_config config,
        peer_handlers handlers);

    boost::asio::any_io_executor executor_;
    peer_config config_;
    peer_handlers handlers_;
    membership::node node_;
    wire::sealer sealer_;
    wire::opener opener_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer timer_;
    peer_counters counters_;
    std::size_t connections_ = 0;
    bool stopped_ = false;
};

using state_ptr = std::shared_ptr<service_state>;


/// Returns the endpoint of another form.
membership::endpoint to_endpoint(const boost::asio::ip::udp::endpoint& from);
boost::asio::ip::udp::endpoint to_udp(const membership::endpoint& to);
boost::asio::ip::tcp::endpoint to_tcp(const membership::endpoint& to);


/// Seals a body for the daemon at an address and sends it as a datagram.
void send_datagram(
    service_state& state,
    wire::channel channel,
    const membership::endpoint& to,
    std::string_view body);


/// Sends what a step of the node returned and tells its events.
void take_output(service_state& state, const membership::node_output& out);


/// Receives datagrams until the service stops.
boost::asio::awaitable<void> receive_datagrams(state_ptr state);


/// Lets the node act each 100 ms until the service stops.
boost::asio::awaitable<void> tick_node(state_ptr state);


/// Accepts connections until the service stops.
boost::asio::awaitable<void> accept_requests(state_ptr state);


/// Sends one request and returns its answer.
boost::asio::awaitable<base::result<settings_reply>> request_settings(
    state_ptr state, membership::endpoint from, settings_request request);


/// Returns the audience of the answer to a request, so that it can't be taken
/// for the answer to another one.
std::string reply_audience(
    const base::daemon_id& asker, std::uint64_t boot, std::uint64_t sequence);

} // namespace monsoondock::peer::pvt
