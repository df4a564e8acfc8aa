#pragma once

#include "suspended_try.hpp"
#include "try_upstream.hpp"

#include <memory>
#include <string_view>

namespace monsoondock::relay::pvt {

/// One try of a request at an upstream.
struct try_context
{
    proxy_thread& t_;
    exchange& e_;
    response_state& state_;
    upstream target_;
    /// Parser of the response; null before the request has been sent.
    std::unique_ptr<http_response_parser> parser_;
    /// True when the target is another daemon.
    bool detour_ = false;
    /// When the latest events of the stream arrived; unset before the first
    /// one, and while the pace of the upstream can't be measured.
    base::time_point events_at_{};
};


/// Returns the state of the target.
upstream_state& target_state(const try_context& c);


/// Returns a parser for the response to a request.
std::unique_ptr<http_response_parser> make_parser(const exchange& e);


/// Returns the connection of the exchange to the pool if the response leaves it
/// usable.
void return_to_pool(try_context& c, const http_response_parser& parser);


/// Records that the upstream has sent a part of its response.
void record_progress(try_context& c);


/// Returns true when the response is relayed as a stream of events.
bool is_event_stream(const exchange& e, const http_response& response);


/// Records what the exchange waits for from now on.
void enter_phase(exchange& e, wait_phase phase);


/// Records why the try fails. Returns false.
bool fail(try_context& c, std::string_view reason);


/// Records why the try fails and returns that it is lost.
try_outcome lose(try_context& c, std::string_view reason);


/// Receives the response to a request that has been sent, or goes on with one
/// that has been received in part. A stream is relayed to the caller as it
/// arrives; any other response is left in the state.
boost::asio::awaitable<try_outcome> receive_response(try_context& c);

} // namespace monsoondock::relay::pvt
