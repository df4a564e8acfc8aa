#include "confirm_end.hpp"

#include "open_connection.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/find_response.hpp>

#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>

namespace monsoondock::relay::pvt {

namespace asio = boost::asio;

namespace {

bool is_failure(const connection_end& end)
{
    return end.source_ != end_source::none && end.failure_ != asio::error::eof;
}


// Returns true when a stream ends inside an event or, where the connection ends
// it, before its first one.
bool ends_inside_event(const try_context& c)
{
    const event_splitter& events = c.state_.splitter_;
    if (ends_inside_event(events))
        return true;
    const bool resumed =
        c.e_.request_.count(c.t_.config_.headers_.last_event_id_) > 0;
    return c.state_.framing_ == base::body_framing::connection_close &&
           events.events_ == 0 && !resumed;
}


asio::awaitable<bool> stays_open(exchange& e)
{
    asio::steady_timer timer(
        e.upstream_->socket_.get_executor(), base::host_check_time);
    co_await timer.async_wait(base::await_tuple);
    co_return e.stop_reason_ == stop_reason::none&& is_reusable(*e.upstream_);
}

} // namespace

std::size_t find_second_response(const try_context& c, std::string_view text)
{
    if (c.state_.framing_ != base::body_framing::connection_close)
        return std::string_view::npos;
    return base::find_response(text, c.t_.config_.headers_.request_id_);
}


base::body_end
body_end_of(const try_context& c, const http_response_parser& parser)
{
    base::body_end end;
    end.framing_ = c.state_.framing_;
    end.as_framed_ = parser.is_done();
    end.connection_failed_ = is_failure(c.e_.upstream_->socket_.end());
    const bool stream = is_event_stream(c.e_, parser.get());
    end.inside_event_ = stream && ends_inside_event(c);
    end.second_response_ = stream
                               ? c.state_.splitter_.has_second_response_
                               : find_second_response(c, parser.get().body()) !=
                                     std::string_view::npos;
    return end;
}


asio::awaitable<base::host_check> check_host(try_context& c)
{
    exchange& e = c.e_;
    // The response has ended by itself.
    if (e.stop_reason_ == stop_reason::rerouted)
        e.stop_reason_ = stop_reason::none;
    c.state_.connection_end_ = e.upstream_->socket_.end();
    const wait_phase phase = e.phase_;
    const base::time_point phase_start = e.phase_start_;
    const bool received_bytes = e.received_bytes_;
    const bool accepted = e.stop_reason_ == stop_reason::none &&
                          co_await open_connection(c) && co_await stays_open(e);
    e.phase_ = phase;
    e.phase_start_ = phase_start;
    e.received_bytes_ = received_bytes;
    if (accepted)
        keep_connection(c, default_idle_time);
    if (accepted)
        co_return base::host_check::accepts;
    const upstream_state& s = target_state(c);
    co_return s.leaving_ ? base::host_check::leaving : base::host_check::gone;
}

} // namespace monsoondock::relay::pvt
