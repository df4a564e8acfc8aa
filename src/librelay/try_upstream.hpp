#pragma once

#include "event_splitter.hpp"
#include "http_serializer.hpp"
#include "proxy_thread.hpp"

#include <monsoondock/base/body_framing.hpp>
#include <monsoondock/paths/helper.hpp>

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string_view>

namespace monsoondock::relay::pvt {

/// Outcome of sending a request to one upstream.
enum class try_outcome
{
    /// No connection was established; nothing was sent.
    not_sent,
    /// The upstream reported that it did not execute the request.
    rejected,
    /// A complete response that is not a stream is in buffered_response_.
    answered,
    /// The stream was relayed completely.
    relayed,
    /// The request may have been executed, but there is no complete response.
    lost,
    /// The upstream is slow, and another one is to respond in its place; the
    /// try can be resumed.
    suspended,
    /// The caller disconnected, or writing to it failed.
    caller_gone
};


/// State of the response to a caller over all tries of its request.
struct response_state
{
    event_splitter splitter_;
    /// Memory of the body or of the incomplete event.
    base::byte_lease memory_;
    /// Why the last try failed, as it appears in logs; empty when it did not,
    /// or when nothing was sent.
    std::string_view failure_;
    /// True when the last try ended before the request was sent, as the data
    /// centre of its upstream was being evacuated.
    bool evacuated_ = false;
    /// True when the header of a streamed response has been sent to the caller.
    bool header_sent_ = false;
    std::optional<http_response> buffered_response_;
    /// Events that the current try has received.
    std::uint64_t events_ = 0;
    /// How the connection of the last try ended, and how many bytes of a body
    /// had come on it since the try began or went on.
    connection_end connection_end_;
    std::size_t body_bytes_ = 0;
    /// Framing of the last response that an upstream sent.
    base::body_framing framing_ = base::body_framing::none;
    /// When the header of the response of the current try arrived; unset before
    /// that.
    base::time_point response_began_;
    /// Size in bytes of the incomplete event at the end of that response.
    std::size_t partial_event_bytes_ = 0;
    /// When the first part of the response was passed to the caller.
    base::time_point first_response_at_;
    /// True when the caller's connection stays open after the response.
    bool keep_alive_ = true;
    /// False for a caller of HTTP/1.0, whose streams end with the connection.
    bool chunked_ = true;
};


/// Sends the request to an upstream and receives the response; a stream is
/// relayed to the caller as it arrives.
boost::asio::awaitable<try_outcome> try_upstream(
    proxy_thread& t, exchange& e, response_state& state, upstream target);


/// Sends the request to another daemon, which serves it in place of this one,
/// and relays the response.
boost::asio::awaitable<try_outcome> try_detour(
    proxy_thread& t,
    exchange& e,
    response_state& state,
    const paths::helper& helper);


/// Goes on with the suspended try of the exchange.
boost::asio::awaitable<try_outcome>
resume_try(proxy_thread& t, exchange& e, response_state& state);


/// Ends the suspended try of the exchange, if there is one.
void drop_suspended_try(proxy_thread& t, exchange& e);


/// Returns the name of an outcome as it appears in logs.
const char* to_string(try_outcome outcome) noexcept;

} // namespace monsoondock::relay::pvt
