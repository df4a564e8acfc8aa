#pragma once

#include "event_splitter.hpp"
#include "http_text.hpp"
#include "proxy_thread.hpp"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace monsoondock::relay::pvt {

/// How one try at an upstream ended.
enum class try_end
{
    /// No connection: nothing was sent.
    not_sent,
    /// The upstream says that it did not run the request.
    rejected,
    /// A whole answer that is not a stream is in plain_.
    answered,
    /// The stream was relayed to its end.
    relayed,
    /// The request may have run, and there is no whole answer.
    lost,
    /// The caller's connection failed or the caller left.
    caller_gone
};


/// What a request's tries have produced so far.
struct relay_state
{
    event_splitter splitter_;
    /// The head of a streamed answer has been sent to the caller.
    bool head_sent_ = false;
    std::optional<http_response> plain_;
    /// When the first byte went to the caller.
    base::time_point first_answer_;
    /// True when the caller's connection stays usable after the answer.
    bool keep_open_ = true;
};


/// Sends the request to an upstream and takes its answer.
boost::asio::awaitable<try_end>
try_upstream(proxy_thread& t, exchange& e, relay_state& state, upstream target);


/// Returns the name of an end as it appears in logs.
const char* to_string(try_end end) noexcept;

} // namespace monsoondock::relay::pvt
