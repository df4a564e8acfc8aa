#include "relay_stream.hpp"

#include "buffer_sizes.hpp"
#include "confirm_end.hpp"
#include "failure_reason.hpp"
#include "upstream_pace.hpp"

#include <monsoondock/base/await_tuple.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>

namespace monsoondock::relay::pvt {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

asio::awaitable<bool> write_to_caller(try_context& c, const std::string& text)
{
    const auto [failure, sent] = co_await asio::async_write(
        c.e_.caller_->socket_, asio::buffer(text), base::await_tuple);
    co_return !failure;
}


// Writes a part of a stream to the caller. Comments do not count as progress of
// the stream, and the time that a slow caller takes is no reason to doubt the
// upstream.
asio::awaitable<bool>
write_part(try_context& c, const std::string& text, bool has_event)
{
    exchange& e = c.e_;
    const wait_phase phase = e.phase_;
    const auto waited = base::boot_clock::now() - e.phase_start_;
    const bool received_bytes = e.received_bytes_;
    enter_phase(e, wait_phase::none);
    const bool sent = co_await write_to_caller(c, text);
    record_write(c);
    enter_phase(e, has_event ? wait_phase::next_event : phase);
    if (!has_event) {
        e.phase_start_ -= waited;
        e.received_bytes_ = received_bytes;
    }
    co_return sent;
}


// Counts the part of a stream that waits for its caller in place of the
// incomplete event from which it comes.
void hold_unread(response_state& s, const std::string& text)
{
    if (s.splitter_.pending_.size() < s.splitter_.pending_.capacity() / 2)
        s.splitter_.pending_.shrink_to_fit();
    // It fails only by the framing, or by one read, for a large event that
    // leaves no room in the memory of all responses.
    s.memory_.resize(s.splitter_.pending_.capacity() + text.size());
}


void update_resumption(try_context& c)
{
    c.e_.may_resume_ = resume_at(c.state_.splitter_.join_).has_value();
}


// Returns the events that the received part of a stream completes.
std::string take_events(try_context& c, http_response_parser& parser)
{
    response_state& s = c.state_;
    std::string& body = parser.get().body();
    s.body_bytes_ += body.size();
    const std::uint64_t known_events = s.splitter_.events_;
    std::string events =
        extract_events(s.splitter_, body, [&](std::string_view block) {
            return find_second_response(c, block) != std::string_view::npos;
        });
    const std::uint64_t new_events = s.splitter_.events_ - known_events;
    s.events_ += new_events;
    record_events(c, new_events);
    body.clear();
    s.partial_event_bytes_ = s.splitter_.pending_.size();
    update_resumption(c);
    return events;
}


// Passes events of a stream on to the caller, and its end if it is complete.
// Returns false when writing to the caller fails.
asio::awaitable<bool> pass_on(
    try_context& c,
    const http_response_parser& parser,
    std::string events,
    bool complete)
{
    response_state& s = c.state_;
    if (complete)
        events.append(take_partial_event(s.splitter_));
    if (events.empty() && !complete)
        co_return true;
    const bool has_event = contains_event(events);
    if (complete || has_event)
        drop_suspended_try(c.t_, c.e_);
    std::string text;
    if (!s.header_sent_) {
        s.keep_alive_ = s.keep_alive_ && !c.t_.view_->stopping_;
        text = serialize_stream_header(parser.get(), s.keep_alive_, s.chunked_);
        s.first_response_at_ = base::boot_clock::now();
        s.header_sent_ = true;
        if (!s.chunked_)
            reset_on_close(*c.e_.caller_, true);
    }
    if (!s.chunked_)
        text.append(events);
    else if (!events.empty())
        text.append(serialize_chunk(events));
    if (complete && s.chunked_)
        text.append(last_chunk);
    events = {};
    hold_unread(s, text);
    co_return co_await write_part(c, text, has_event);
}


// Relays the end of a stream whose last events have been received.
asio::awaitable<try_outcome> relay_end(
    try_context& c, const http_response_parser& parser, std::string events)
{
    finish_run(c.state_.splitter_.join_, events);
    update_resumption(c);
    base::body_end end = body_end_of(c, parser);
    if (base::judge(end) == base::end_verdict::unconfirmed) {
        // The events don't wait for the check.
        const bool sent =
            co_await pass_on(c, parser, std::exchange(events, {}), false);
        if (!sent)
            co_return try_outcome::caller_gone;
        end.host_ = co_await check_host(c);
    }
    const bool complete = base::judge(end) == base::end_verdict::complete;
    const bool sent = co_await pass_on(c, parser, std::move(events), complete);
    if (!sent)
        co_return try_outcome::caller_gone;
    if (!complete)
        co_return lose(c, base::reason_of(end));
    if (!c.state_.chunked_)
        reset_on_close(*c.e_.caller_, false);
    return_to_pool(c, parser);
    co_return try_outcome::relayed;
}

} // namespace

asio::awaitable<try_outcome>
relay_stream(try_context& c, http_response_parser& parser)
{
    exchange& e = c.e_;
    if (parser.get().count(c.t_.config_.headers_.seal_) == 0)
        co_return lose(c, "not_sealed");
    // The limit is for buffered responses; a stream may be longer.
    parser.body_limit(boost::none);
    e.upstream_->buffer_.max_size(
        std::max(stream_read_bytes, e.upstream_->buffer_.size()));
    for (;;) {
        const bool last = parser.is_done();
        // The suspended try has responded sooner.
        if (e.stop_reason_ == stop_reason::resumed)
            co_return try_outcome::lost;
        if (!parser.get().body().empty()) {
            record_progress(c);
            e.received_bytes_ = true;
        }
        std::string events = take_events(c, parser);
        const event_splitter& splitter = c.state_.splitter_;
        const base::join_failure failure = splitter.join_.run_.failure_;
        if (last && failure == base::join_failure::none)
            co_return co_await relay_end(c, parser, std::move(events));
        const bool sent = co_await pass_on(c, parser, std::move(events), false);
        if (!sent)
            co_return try_outcome::caller_gone;
        if (failure != base::join_failure::none)
            co_return lose(c, to_string(failure));
        if (splitter.has_second_response_)
            co_return lose(c, "second_response");
        if (splitter.pending_.size() > max_event_bytes)
            co_return lose(c, "event_too_large");
        if (!c.state_.memory_.resize(splitter.pending_.capacity()))
            co_return lose(c, "response_memory");
        // An event that arrives as the exchange is rerouted revives the try.
        if (e.stop_reason_ == stop_reason::rerouted)
            e.stop_reason_ = stop_reason::none;
        if (e.stop_reason_ != stop_reason::none)
            co_return try_outcome::lost;
        const auto [read_failure, size] = co_await http::async_read_some(
            e.upstream_->socket_,
            e.upstream_->buffer_,
            parser,
            base::await_tuple);
        if (read_failure)
            co_return lose(c, failure_reason(read_failure));
    }
}

} // namespace monsoondock::relay::pvt
