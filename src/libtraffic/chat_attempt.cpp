#include "chat_attempt.hpp"

#include "caller_response.hpp"
#include "caller_writer.hpp"
#include "confirm_end.hpp"
#include "in_flight_guard.hpp"
#include "refusals.hpp"
#include "upstream_limit.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/event_line.hpp>
#include <monsoondock/base/read_response_header.hpp>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <tuple>

namespace monsoondock::traffic::pvt {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

using upstream_response_parser =
    base::bounded_response_parser<http::buffer_body>;

constexpr unsigned http_version_1_1 = 11;
constexpr std::size_t read_buffer_bytes = 4096;
// Bytes of a body that are read after the closing event, so that a connection
// can be used again.
constexpr std::size_t max_bytes_after_end = 4096;
constexpr std::size_t max_buffered_answer_bytes = std::size_t{8} * 1024 * 1024;


// State of one attempt.
struct attempt
{
    traffic_thread& thread_;
    caller_connection& caller_;
    request_context& context_;
    chat_progress& progress_;
    const group_row& group_;
    std::unique_ptr<upstream_connection> upstream_;
    /// Run state to restore when this attempt turns out not to have run.
    run_state run_before_ = run_state::unsent;
    /// Error of the last read of a body.
    boost::system::error_code read_failure_;
    /// Since when the group has sent no response head, no event with content
    /// and no part of a body that is not a stream.
    base::time_point silent_since_;
};


pool_key key_of(const attempt& a)
{
    return {a.group_.head_, a.group_.generation_};
}


const limits& limits_of(const attempt& a)
{
    return a.thread_.options_.limits_;
}


caller_request make_upstream_request(const attempt& a)
{
    const caller_request& source = a.context_.request_;
    caller_request request(
        http::verb::post, "/v1/chat/completions", http_version_1_1);
    request.set(http::field::host, "engine");
    request.set(http::field::content_type, "application/json");
    request.set("X-Request-Id", a.context_.id_.value_);
    request.set("X-Group", a.group_.group_.value_);
    request.set("X-Generation", std::to_string(a.group_.generation_.value_));
    request.set("X-Priority", a.context_.label_.class_);
    if (a.progress_.splitter_.progress_.tokens_ > 0)
        request.set(
            "X-Resume-From",
            std::to_string(a.progress_.splitter_.progress_.tokens_));
    const auto trace = source.find("traceparent");
    if (trace != source.end())
        request.set("traceparent", trace->value());
    request.body() = source.body();
    request.prepare_payload();
    return request;
}


// Reads end at the caller's deadline.
void set_read_deadline(attempt& a)
{
    if (!a.context_.deadline_) {
        a.upstream_->stream_.expires_never();
        return;
    }
    a.upstream_->stream_.expires_after(std::max<std::chrono::nanoseconds>(
        *a.context_.deadline_ - base::boot_clock::now(),
        std::chrono::nanoseconds::zero()));
}


// A write ends at the caller's deadline or after the upstream idle time-out,
// whichever comes first.
void set_write_timeout(attempt& a)
{
    std::chrono::nanoseconds timeout = limits_of(a).upstream_idle_timeout_;
    if (a.context_.deadline_)
        timeout =
            std::min(timeout, *a.context_.deadline_ - base::boot_clock::now());
    a.upstream_->stream_.expires_after(
        std::max(timeout, std::chrono::nanoseconds::zero()));
}


// Returns true when the current snapshot lists the group in the generation of
// the attempt, with evidence that its hosts are alive.
bool is_group_alive(const attempt& a)
{
    const auto snapshot = a.thread_.options_.snapshots_.get();
    const base::time_point now = base::boot_clock::now();
    return std::any_of(
        snapshot->groups_.begin(),
        snapshot->groups_.end(),
        [&](const group_row& row) {
            return row.group_ == a.group_.group_ &&
                   row.generation_ == a.group_.generation_ &&
                   now < row.fresh_until_;
        });
}


// Returns when a silent group is to be given up. Bytes that complete no event
// don't end its silence.
asio::awaitable<void> watch_silence(attempt& a)
{
    asio::steady_timer timer(a.thread_.context_);
    for (;;) {
        const auto silent = base::boot_clock::now() - a.silent_since_;
        timer.expires_after(std::max<std::chrono::nanoseconds>(
            limits_of(a).upstream_idle_timeout_ - silent,
            std::chrono::nanoseconds::zero()));
        const auto [failure] = co_await timer.async_wait(base::await_tuple);
        if (failure || !is_group_alive(a))
            co_return;
        a.silent_since_ = base::boot_clock::now();
        const bool replaced = co_await a.progress_.obtain_replacement_();
        if (replaced)
            co_return;
        base::event_line("silent_group_kept")
            .field("request", a.context_.id_)
            .field("group", a.group_.group_)
            .field("tokens", a.progress_.splitter_.progress_.tokens_);
    }
}


// Completes a read from the group. Fails with timed_out when the group was
// given up for its silence.
asio::awaitable<boost::system::error_code>
complete_read(attempt& a, asio::awaitable<boost::system::error_code> reading)
{
    using namespace asio::experimental::awaitable_operators;

    const auto ended = co_await (std::move(reading) || watch_silence(a));
    if (ended.index() == 0)
        co_return std::get<0>(ended);
    co_return asio::error::timed_out;
}


asio::awaitable<boost::system::error_code>
read_some(attempt& a, upstream_response_parser& parser)
{
    const auto [failure, size] = co_await http::async_read_some(
        a.upstream_->stream_, a.upstream_->buffer_, parser, base::await_tuple);
    co_return failure;
}


bool deadline_expired(const request_context& context)
{
    return context.deadline_ && base::boot_clock::now() >= *context.deadline_;
}


attempt_result fail_attempt(attempt& a, std::string_view reason)
{
    a.thread_.options_.metrics_.add(
        metrics::counter::upstream_failures, a.context_.label_);
    base::event_line("upstream_failed", base::severity::warning)
        .field("request", a.context_.id_)
        .field("group", a.group_.group_)
        .field("reason", reason)
        .field("tokens", a.progress_.splitter_.progress_.tokens_);
    if (deadline_expired(a.context_) && !a.progress_.head_sent_)
        return reply(deadline_passed(a.progress_.run_));
    return attempt_failed{};
}


attempt_result reject_attempt(attempt& a, std::string_view reason)
{
    a.group_.load_->suspect_ = true;
    a.progress_.run_ = a.run_before_;
    base::event_line("dispatch_refused", base::severity::warning)
        .field("request", a.context_.id_)
        .field("group", a.group_.group_)
        .field("generation", a.group_.generation_.value_)
        .field("reason", reason);
    return attempt_not_run{};
}


bool has_matching_request_id(
    const attempt& a, const upstream_response_parser& parser)
{
    const auto& head = parser.get();
    const auto id = head.find("X-Request-Id");
    return id == head.end() || id->value() == a.context_.id_.value_;
}


// Reads the next part of the body into bytes and returns its size, or nullopt
// on a read error.
asio::awaitable<std::optional<std::size_t>> read_body_part(
    attempt& a,
    upstream_response_parser& parser,
    std::array<char, read_buffer_bytes>& bytes)
{
    parser.get().body().data = bytes.data();
    parser.get().body().size = bytes.size();
    parser.get().body().more = true;
    set_read_deadline(a);
    const boost::system::error_code failure =
        co_await complete_read(a, read_some(a, parser));
    if (failure && failure != http::error::need_buffer) {
        a.read_failure_ = failure;
        co_return std::nullopt;
    }
    co_return bytes.size() - parser.get().body().size;
}


void observe_tokens(attempt& a, std::uint64_t new_tokens)
{
    const base::time_point now = base::boot_clock::now();
    auto& metrics = a.thread_.options_.metrics_;
    auto& report = a.context_.report_;
    if (!report.first_token_) {
        report.first_token_ = now - a.context_.arrived_;
        metrics.observe(
            metrics::latency::first_token,
            a.context_.label_,
            *report.first_token_);
    } else if (new_tokens > 0) {
        metrics.observe(
            metrics::latency::token_gap,
            a.context_.label_,
            (now - a.progress_.last_write_) /
                static_cast<std::int64_t>(new_tokens));
    }
    metrics.add(metrics::counter::tokens, a.context_.label_, new_tokens);
    report.tokens_ += new_tokens;
    if (a.progress_.dispatch_ != nullptr)
        a.progress_.dispatch_->add_tokens(new_tokens);
    a.progress_.last_write_ = now;
}


// Returns false when writing to the caller fails.
asio::awaitable<bool> forward_events(attempt& a, std::string_view bytes)
{
    auto& splitter = a.progress_.splitter_;
    const std::uint64_t before = splitter.progress_.tokens_;
    const std::string events = take_events(splitter, bytes);
    if (events.empty())
        co_return true;
    if (!a.progress_.head_sent_) {
        a.progress_.head_sent_ = true;
        const bool sent =
            co_await write_stream_head(a.caller_, a.context_, limits_of(a));
        if (!sent)
            co_return false;
    }
    observe_tokens(a, splitter.progress_.tokens_ - before);
    const bool has_content =
        splitter.progress_.tokens_ > before || splitter.progress_.done_;
    const base::time_point write_began = base::boot_clock::now();
    const bool sent = co_await write_chunk(a.caller_, events, limits_of(a));
    // The time that a slow caller takes is not the group's.
    const base::time_point now = base::boot_clock::now();
    a.silent_since_ = has_content ? now : a.silent_since_ + (now - write_began);
    co_return sent;
}


// Only a stream served by a single attempt measures a single group.
void observe_token_interval(attempt& a)
{
    const auto& report = a.context_.report_;
    if (report.attempts_ != 1 || !report.first_token_ || report.tokens_ < 2)
        return;
    const auto first = a.context_.arrived_ + *report.first_token_;
    const auto gaps = static_cast<std::int64_t>(report.tokens_ - 1);
    a.thread_.router_.observe(
        a.group_.group_,
        (a.progress_.last_write_ - first) / gaps,
        a.progress_.last_write_);
}


void release_connection(attempt& a, const upstream_response_parser& parser)
{
    if (parser.is_done() && parser.keep_alive() &&
        a.upstream_->buffer_.size() == 0)
        a.thread_.pool_.put(key_of(a), std::move(a.upstream_));
}


asio::awaitable<attempt_result>
relay_stream(attempt& a, upstream_response_parser& parser)
{
    std::array<char, read_buffer_bytes> bytes{};
    auto& splitter = a.progress_.splitter_;
    // An event that an earlier attempt left incomplete is sent again.
    begin_run(splitter);
    std::size_t bytes_after_end = 0;
    while (!parser.is_done() && bytes_after_end <= max_bytes_after_end) {
        const bool ended = splitter.progress_.done_;
        const auto size = co_await read_body_part(a, parser, bytes);
        if (!size && ended)
            break;
        if (!size)
            co_return fail_attempt(
                a, "the stream was interrupted: " + a.read_failure_.message());
        if (ended)
            bytes_after_end += *size;
        if (!co_await forward_events(a, {bytes.data(), *size}))
            co_return reply(caller_disconnected{});
        if (splitter.pending_.size() > max_event_bytes)
            co_return fail_attempt(a, "an event exceeds the maximum size");
        const base::join_failure failure = splitter.join_.run_.failure_;
        if (failure != base::join_failure::none)
            co_return fail_attempt(
                a,
                "the stream does not go on where the last one ended: " +
                    std::string(to_string(failure)));
    }
    base::body_end end;
    end.join_ = splitter.join_.run_.failure_;
    end.has_closing_event_ = splitter.progress_.done_;
    if (base::judge(end) != base::end_verdict::complete)
        co_return fail_attempt(a, "the stream ended without its [DONE] event");
    observe_token_interval(a);
    release_connection(a, parser);
    if (!co_await write_last_chunk(a.caller_, limits_of(a)))
        co_return reply(caller_disconnected{});
    co_return reply(streamed{});
}


asio::awaitable<attempt_result>
relay_buffered(attempt& a, upstream_response_parser& parser)
{
    std::array<char, read_buffer_bytes> bytes{};
    std::string body;
    base::byte_lease memory(a.thread_.response_memory_);
    while (!parser.is_done()) {
        const auto size = co_await read_body_part(a, parser, bytes);
        if (!size)
            co_return fail_attempt(
                a,
                "the response was interrupted: " + a.read_failure_.message());
        a.silent_since_ = base::boot_clock::now();
        body.append(bytes.data(), *size);
        if (body.size() > max_buffered_answer_bytes)
            co_return fail_attempt(a, "the response exceeds the maximum size");
        if (!memory.resize(body.capacity()))
            co_return fail_attempt(
                a, "other responses use the memory for responses");
    }
    const base::body_end end = co_await confirm_end(
        end_of_body(base::framing_of(parser), body),
        a.group_.head_,
        limits_of(a).connect_timeout_);
    if (base::judge(end) != base::end_verdict::complete)
        co_return fail_attempt(
            a,
            "the end of the response is not confirmed: " +
                std::string(base::reason_of(end)));
    buffered_response response =
        make_caller_response(parser.get(), std::move(body));
    release_connection(a, parser);
    co_return reply(std::move(response));
}


bool is_not_run_status(http::status status)
{
    return status == http::status::conflict ||
           status == http::status::service_unavailable;
}


asio::awaitable<attempt_result> relay_answer(attempt& a)
{
    std::optional<upstream_response_parser> received;
    set_read_deadline(a);
    const boost::system::error_code failure = co_await complete_read(
        a,
        base::read_response_header(
            a.upstream_->stream_,
            a.upstream_->buffer_,
            received,
            {max_response_header_bytes,
             std::numeric_limits<std::uint64_t>::max()}));
    if (failure)
        co_return fail_attempt(
            a, "no response head received: " + failure.message());
    a.silent_since_ = base::boot_clock::now();
    upstream_response_parser& parser = *received;
    if (!has_matching_request_id(a, parser))
        co_return fail_attempt(a, "the response has the id of another request");
    const auto& head = parser.get();
    record_limit(a.thread_, *a.group_.load_, a.group_.group_.value_, head);
    if (is_not_run_status(head.result()))
        co_return reject_attempt(
            a, "the engine refused the request (409 or 503)");
    if (head.result_int() >= 500)
        co_return fail_attempt(a, "the engine returned a 5xx status");
    a.progress_.run_ = run_state::answered;
    if (head[http::field::content_type].starts_with("text/event-stream"))
        co_return co_await relay_stream(a, parser);
    // The caller has a part of a stream, which only a stream continues.
    if (a.progress_.head_sent_)
        co_return fail_attempt(a, "the engine's response is no stream");
    co_return co_await relay_buffered(a, parser);
}


// Returns false when there is no connection, so nothing was sent.
asio::awaitable<bool> open_upstream(attempt& a)
{
    a.upstream_ = a.thread_.pool_.take(key_of(a));
    if (a.upstream_ == nullptr)
        a.upstream_ = co_await connect_upstream(
            a.group_.head_, limits_of(a).connect_timeout_);
    co_return a.upstream_ != nullptr;
}

} // namespace

asio::awaitable<attempt_result> attempt_chat(
    traffic_thread& thread,
    caller_connection& caller,
    request_context& context,
    chat_progress& progress,
    const group_row& group)
{
    attempt a{
        thread,
        caller,
        context,
        progress,
        group,
        nullptr,
        progress.run_,
        {},
        {}};
    const in_flight_guard load_guard(group.load_);
    group.load_->limit_.record_send(base::boot_clock::now());
    ++context.report_.attempts_;
    context.report_.upstream_ = group.group_.value_;
    if (!co_await open_upstream(a))
        co_return reject_attempt(
            a, "could not connect to the group's head host");
    const caller_request request = make_upstream_request(a);
    // The evidence of the group may have expired while connecting.
    if (!may_dispatch(group, base::boot_clock::now()))
        co_return reject_attempt(
            a, "the liveness evidence of the group has expired");
    progress.run_ = run_state::maybe_sent;
    set_write_timeout(a);
    const auto [failure, sent] = co_await http::async_write(
        a.upstream_->stream_, request, base::await_tuple);
    if (failure)
        co_return fail_attempt(a, "writing the request failed");
    a.silent_since_ = base::boot_clock::now();
    co_return co_await relay_answer(a);
}

} // namespace monsoondock::traffic::pvt
