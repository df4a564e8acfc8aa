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

/// State of a service, owned jointly by the service and its coroutines.
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


/// Conversions between membership and Boost.Asio endpoints, IPv4 only.
membership::endpoint to_endpoint(const boost::asio::ip::udp::endpoint& from);
boost::asio::ip::udp::endpoint to_udp(const membership::endpoint& to);
boost::asio::ip::tcp::endpoint to_tcp(const membership::endpoint& to);


/// Seals a body for the daemon at an address and sends it as a datagram.
/// Failures are counted only.
void send_datagram(
    service_state& state,
    wire::channel channel,
    const membership::endpoint& to,
    std::string_view body);


/// Sends the datagrams that a call of the membership node returned and passes
/// its events to the handler.
void process_output(service_state& state, const membership::node_output& out);


/// Receives datagrams until the service stops.
boost::asio::awaitable<void> receive_datagrams(state_ptr state);


/// Runs the periodic work of the membership node, each 100 ms, until the
/// service stops.
boost::asio::awaitable<void> tick_node(state_ptr state);


/// Accepts connections until the service stops.
boost::asio::awaitable<void> accept_requests(state_ptr state);


/// Sends one request and returns its reply.
boost::asio::awaitable<base::result<settings_reply>> request_settings(
    state_ptr state, membership::endpoint peer, settings_request request);


/// Returns the audience for the reply to a request. It identifies the request,
/// so that the reply can't be passed off as the reply to another one.
std::string reply_audience(
    const base::daemon_id& requester,
    std::uint64_t incarnation,
    std::uint64_t sequence);

} // namespace monsoondock::peer::pvt
