#pragma once

#include "fake_upstream_test.hpp"

#include <monsoondock/catalog/request_kind.hpp>
#include <monsoondock/relay/reverse_proxy.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <optional>

namespace monsoondock::relay::test {

/// Response as a caller of the proxy receives it.
struct caller_response
{
    unsigned status_ = 0;
    std::string body_;
    /// Value of the Retry-After field; empty when there is none.
    std::string retry_after_;
    bool chunked_ = false;
    /// True when the response ended as its header announced.
    bool complete_ = false;
};


/// What a proxy session differs in from the usual one.
struct session_options
{
    /// Time for a step of the engine. By default so long that no wait for an
    /// event exceeds its limit, however slowly the test runs.
    double step_ms_ = 60000;
    std::chrono::milliseconds target_latency_{60000};
    /// Retries that are permitted beside a share of the requests.
    double retry_slack_ = 1000;
    std::vector<const char*> hosts_{"a", "b", "c"};
    /// Host in a data centre that is evacuated after the host was chosen; null
    /// for none.
    const char* evacuated_host_ = nullptr;
    /// Time that callers give their requests.
    std::chrono::milliseconds deadline_{60000};
    /// Set when the cause of lost responses is found out: true when the link
    /// was cut, false when the upstream has failed.
    std::optional<bool> losses_by_cut_link_;
    /// See proxy_config::min_stall_time_.
    std::chrono::milliseconds min_stall_time_{5000};
    /// See proxy_config::caller_stall_limit_.
    std::chrono::milliseconds caller_stall_limit_{15000};
    /// See proxy_config::learned_capacity_.
    bool learned_capacity_ = false;
};


/// What a request differs in from the usual one.
struct request_options
{
    unsigned http_version_ = 11;
    std::chrono::milliseconds deadline_{60000};
    std::string body_;
    /// Parts of the prompt; see crashes::parse_shared_parts.
    std::string prompt_parts_;
    /// Tokens of the prompt and most tokens of the answer; empty for none.
    std::string token_counts_;
    /// The caller's own Last-Event-Id; empty for none.
    std::string last_event_id_;
};


/// A reverse proxy with one route to a fake upstream, which it takes for three
/// hosts, and a caller with a connection to it.
class proxy_session
{
public:
    /// Requests of the route are of the given kind and may be executed twice.
    proxy_session(
        catalog::request_kind kind,
        std::vector<scripted_response> script,
        const session_options& options = {});


    /// Sends a request of HTTP/1.1, or of another version, and reads the
    /// response.
    caller_response call(unsigned http_version = 11);


    /// Sends a request without reading the response.
    void send(unsigned http_version = 11);


    /// Reads the response to a request that was sent.
    caller_response receive();


    /// Sends a request on a connection of its own and reads the response.
    caller_response call_once(const request_options& options);


    /// Has all links to the upstreams cut, with other sessions that help.
    void cut_links(const std::vector<const proxy_session*>& helpers);


    /// Publishes a view that lists these hosts only.
    void list_hosts(const std::vector<const char*>& hosts);


    /// Publishes a view in which the hosts have these addresses.
    void
    place_hosts(const std::vector<boost::asio::ip::tcp::endpoint>& addresses);


    /// Returns the address for detours.
    boost::asio::ip::tcp::endpoint detour_address() const
    {
        return detour_address_;
    }


    /// Opens another connection and returns it. Its receive buffer has the
    /// given size, or the usual one if that is 0.
    boost::asio::ip::tcp::socket connect(int receive_buffer_bytes = 0);


    fake_upstream upstream_;
    metrics::registry metrics_;
    reverse_proxy proxy_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_{context_};
    boost::beast::flat_buffer buffer_;

private:
    boost::asio::ip::tcp::endpoint address_;
    boost::asio::ip::tcp::endpoint detour_address_;
    std::chrono::milliseconds deadline_;
    catalog::request_kind kind_;
    session_options options_;
};


/// Returns a request of a caller as it is sent.
std::string make_request(const request_options& options = {});

} // namespace monsoondock::relay::test
