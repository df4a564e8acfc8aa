#include "try_upstream.hpp"

#include "admission_control.hpp"
#include "detour.hpp"
#include "failure_reason.hpp"
#include "open_connection.hpp"
#include "receive_response.hpp"
#include "upstream_limits.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/event_line.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace monsoondock::relay::pvt {

namespace asio = boost::asio;

namespace {

asio::awaitable<bool> connect(try_context& c)
{
    exchange& e = c.e_;
    const base::time_point now = base::boot_clock::now();
    e.upstream_ = c.t_.upstream_pool_.acquire(
        c.target_.address_, c.target_.host_.value_, now);
    if (e.upstream_ != nullptr)
        co_return true;
    const boost::system::error_code failure = co_await open_connection(c);
    co_return !failure;
}


asio::awaitable<bool> send_request(try_context& c)
{
    exchange& e = c.e_;
    forwarding_fields fields{c.target_.host_, {}, {}};
    fields.time_left_ = std::chrono::duration_cast<std::chrono::milliseconds>(
        e.deadline_ - base::boot_clock::now());
    const auto point = resume_at(c.state_.splitter_.join_);
    if (!point)
        co_return fail(c, "not_resumable");
    fields.last_event_id_ =
        point->after_id_.empty()
            ? std::string(e.request_[c.t_.config_.headers_.last_event_id_])
            : point->after_id_;
    const std::string head =
        c.detour_
            ? serialize_detour_request(
                  e, c.t_.config_.headers_, fields, c.t_.config_.daemon_)
            : serialize_upstream_request(e, c.t_.config_.headers_, fields);
    enter_phase(e, wait_phase::first_response);
    e.upstream_->header_bytes_ = 0;
    e.upstream_->buffer_.max_size(max_unparsed_bytes);
    const std::array<asio::const_buffer, 2> text{
        asio::buffer(head), asio::buffer(e.request_.body())};
    const auto [failure, sent] = co_await asio::async_write(
        e.upstream_->socket_, text, base::await_tuple);
    if (failure)
        co_return fail(c, failure_reason(failure));
    co_return true;
}


bool is_evacuated(const try_context& c)
{
    return c.t_.view_->evacuated_.contains(c.target_.data_centre_);
}


asio::awaitable<try_outcome> run_try(try_context& c)
{
    exchange& e = c.e_;
    if (!co_await connect(c))
        co_return try_outcome::not_sent;
    // The data centre may have been evacuated while the connection was opened.
    c.state_.evacuated_ = !c.detour_ && is_evacuated(c);
    if (c.state_.evacuated_)
        co_return try_outcome::not_sent;
    e.detour_sent_ |= c.detour_;
    ++e.possible_runs_;
    ++e.connected_sends_;
    if (!co_await send_request(c))
        co_return try_outcome::lost;
    c.parser_ = make_parser(e);
    co_return co_await receive_response(c);
}


// Keeps the connection of a try that was rerouted while it waited for its
// response. It replaces a try that was suspended before.
try_outcome suspend(try_context& c)
{
    exchange& e = c.e_;
    auto suspended = std::make_shared<suspended_try>();
    suspended->target_ = c.target_;
    suspended->connection_ = std::move(e.upstream_);
    suspended->parser_ = std::move(c.parser_);
    suspended->events_ = c.state_.events_;
    suspended->partial_event_ = take_partial_event(c.state_.splitter_);
    suspended->run_ = std::exchange(c.state_.splitter_.join_.run_, {});
    suspended->memory_ = std::move(c.state_.memory_);
    drop_suspended_try(c.t_, e);
    e.suspended_ = std::move(suspended);
    return try_outcome::suspended;
}


// Ends a try whose last operation has ended with an outcome.
try_outcome finish_try(try_context& c, try_outcome outcome)
{
    exchange& e = c.e_;
    const auto waited = base::boot_clock::now() - e.phase_start_;
    e.phase_ = wait_phase::none;
    if (e.upstream_ != nullptr &&
        c.state_.connection_end_.source_ == end_source::none)
        c.state_.connection_end_ = e.upstream_->socket_.end();
    const bool was_rerouted = outcome == try_outcome::lost &&
                              e.stop_reason_ == stop_reason::rerouted &&
                              c.state_.failure_ == stopped_reason &&
                              c.parser_ != nullptr;
    if (was_rerouted && e.upstream_ != nullptr && !e.caller_->disconnected_)
        return suspend(c);
    --target_state(c).in_flight_;
    if (outcome == try_outcome::answered && !c.detour_)
        record_call_time(c.t_, e, c.target_, waited);
    if (outcome == try_outcome::lost) {
        take_partial_event(c.state_.splitter_);
        c.state_.memory_ = {};
    }
    if (e.upstream_ != nullptr) {
        boost::system::error_code ignored;
        e.upstream_->socket_.next_layer().close(ignored);
        e.upstream_.reset();
    }
    if (e.stop_reason_ == stop_reason::caller_left || e.caller_->disconnected_)
        return try_outcome::caller_gone;
    return outcome;
}

// Runs a try from its beginning to its end.
asio::awaitable<try_outcome> begin_try(try_context& c)
{
    exchange& e = c.e_;
    e.host_ = c.target_.host_;
    e.on_detour_ = c.detour_;
    e.stop_reason_ =
        e.caller_->disconnected_ ? stop_reason::caller_left : stop_reason::none;
    if (e.stop_reason_ != stop_reason::none)
        co_return try_outcome::caller_gone;
    e.refusal_logged_ = false;
    ++e.sends_;
    response_state& state = c.state_;
    begin_run(state.splitter_);
    state.memory_ = base::byte_lease(c.t_.response_memory_);
    state.failure_ = {};
    state.evacuated_ = false;
    state.framing_ = base::body_framing::none;
    state.events_ = 0;
    state.connection_end_ = {};
    state.body_bytes_ = 0;
    state.response_began_ = {};
    state.partial_event_bytes_ = 0;
    ++target_state(c).in_flight_;
    const try_outcome outcome = co_await run_try(c);
    co_return finish_try(c, outcome);
}


void log_resumed_try(const try_context& c)
{
    const connection_end& end = c.e_.upstream_->socket_.end();
    base::event_line("try_resumed")
        .field("request", c.e_.id_)
        .field("host", c.target_.host_)
        .field("events", c.state_.splitter_.events_)
        .field("end", to_string(end))
        .field("end_source", to_string(end.source_));
}

} // namespace

asio::awaitable<try_outcome> try_upstream(
    proxy_thread& t, exchange& e, response_state& state, upstream target)
{
    try_context c{t, e, state, std::move(target), nullptr};
    e.tried_.insert(c.target_.host_);
    record_limited_send(t, c.target_.host_);
    co_return co_await begin_try(c);
}


asio::awaitable<try_outcome> try_detour(
    proxy_thread& t,
    exchange& e,
    response_state& state,
    const paths::helper& helper)
{
    upstream target;
    target.host_ = {helper.daemon_.value_};
    target.address_ = helper.address_;
    try_context c{t, e, state, std::move(target), nullptr, true};
    e.tried_helpers_.insert(helper.daemon_);
    co_return co_await begin_try(c);
}


asio::awaitable<try_outcome>
resume_try(proxy_thread& t, exchange& e, response_state& state)
{
    const auto suspended = std::exchange(e.suspended_, nullptr);
    try_context c{
        t, e, state, suspended->target_, std::move(suspended->parser_)};
    e.host_ = c.target_.host_;
    e.on_detour_ = false;
    e.upstream_ = std::move(suspended->connection_);
    e.stop_reason_ =
        e.caller_->disconnected_ ? stop_reason::caller_left : stop_reason::none;
    if (e.stop_reason_ != stop_reason::none)
        co_return finish_try(c, try_outcome::caller_gone);
    e.refusal_logged_ = false;
    restore_run(
        state.splitter_,
        std::move(suspended->run_),
        std::move(suspended->partial_event_));
    state.memory_ = std::move(suspended->memory_);
    state.events_ = suspended->events_;
    state.failure_ = {};
    state.connection_end_ = {};
    state.body_bytes_ = 0;
    log_resumed_try(c);
    enter_phase(
        e,
        c.parser_->is_header_done() && state.splitter_.events_ > 0
            ? wait_phase::next_event
            : wait_phase::first_response);
    const try_outcome outcome = co_await receive_response(c);
    co_return finish_try(c, outcome);
}


void drop_suspended_try(proxy_thread& t, exchange& e)
{
    const auto dropped = std::exchange(e.suspended_, nullptr);
    if (dropped != nullptr)
        --t.upstream_table_.state_of(dropped->target_.host_).in_flight_;
}


const char* to_string(try_outcome outcome) noexcept
{
    switch (outcome) {
    case try_outcome::not_sent:
        return "not_sent";
    case try_outcome::rejected:
        return "rejected";
    case try_outcome::answered:
        return "answered";
    case try_outcome::relayed:
        return "relayed";
    case try_outcome::lost:
        return "lost";
    case try_outcome::suspended:
        return "suspended";
    case try_outcome::caller_gone:
        return "caller_gone";
    }
    return "unknown";
}

} // namespace monsoondock::relay::pvt
