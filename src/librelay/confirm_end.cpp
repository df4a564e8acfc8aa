#include "confirm_end.hpp"

#include "open_connection.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/find_response.hpp>

#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>

namespace monsoondock::relay::pvt {

namespace asio = boost::asio;

namespace {

// Returns true when a stream ends inside an event or, where the connection ends
// it, before the first one of this try. Only a caller may have asked for the
// rest of a stream that has none.
bool stream_is_broken(const try_context& c)
{
    const event_splitter& events = c.state_.splitter_;
    if (ends_inside_event(events))
        return true;
    const bool resumed =
        c.e_.request_.count(c.t_.config_.headers_.last_event_id_) > 0;
    return c.state_.framing_ == base::body_framing::connection_close &&
           c.state_.events_ == 0 && !resumed;
}


bool is_stopped(const exchange& e)
{
    return e.stop_reason_ != stop_reason::none;
}


// Returns true when the peer leaves the new connection of the exchange open.
asio::awaitable<bool> stays_open(exchange& e)
{
    e.phase_ = wait_phase::none;
    asio::steady_timer timer(
        e.upstream_->socket_.get_executor(), base::host_check_time);
    co_await timer.async_wait(base::await_tuple);
    const bool open = !is_stopped(e) && is_reusable(*e.upstream_);
    co_return open;
}


// Returns true when the listener of the target is open. A host that has as many
// connections as it accepts resets further ones, but does not refuse them.
asio::awaitable<bool> is_listening(try_context& c)
{
    if (is_stopped(c.e_))
        co_return false;
    const boost::system::error_code failure = co_await open_connection(c);
    if (!failure) {
        const bool open = co_await stays_open(c.e_);
        if (open)
            co_return true;
    } else if (failure != asio::error::connection_reset) {
        co_return false;
    }
    if (is_stopped(c.e_))
        co_return false;
    const boost::system::error_code further = co_await open_connection(c);
    co_return !further || further == asio::error::connection_reset;
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
    const bool stream = is_event_stream(c.e_, parser.get());
    end.inside_event_ = stream && stream_is_broken(c);
    if (stream)
        end.join_ = c.state_.splitter_.join_.run_.failure_;
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
    const base::time_point begin = base::boot_clock::now();
    const bool listening = co_await is_listening(c);
    // The check is no part of the time that the upstream took.
    e.phase_ = phase;
    e.phase_start_ = phase_start + (base::boot_clock::now() - begin);
    e.received_bytes_ = received_bytes;
    if (listening)
        co_return base::host_check::accepts;
    const bool timed_out = e.stop_reason_ == stop_reason::connect_timeout;
    co_return is_stopped(e) && !timed_out ? base::host_check::unknown
                                          : base::host_check::gone;
}

} // namespace monsoondock::relay::pvt
