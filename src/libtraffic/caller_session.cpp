#include "caller_session.hpp"

#include "count_guard.hpp"
#include "refusals.hpp"
#include "serve_request.hpp"
#include "set_guard.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/bounded_parser.hpp>
#include <monsoondock/base/event_line.hpp>
#include <monsoondock/base/transfer_encoding.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <iomanip>
#include <sstream>
#include <tuple>
#include <variant>

namespace monsoondock::traffic::pvt {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t max_request_id_bytes = 64;
constexpr std::size_t initial_read_bytes = 1024;
constexpr std::size_t discard_buffer_bytes = 4096;
// Maximum size of the buffer of a connection where the limit of a header is
// smaller.
constexpr std::size_t min_buffer_bytes = std::size_t{64} * 1024;
constexpr std::chrono::milliseconds linger_timeout{500};
// Time for the first request on a connection that was new when the listener was
// closed.
constexpr std::chrono::milliseconds first_request_time{200};


// The connection was closed or is unusable; no response is sent.
struct connection_closed
{};

using read_result = std::variant<caller_request, refusal, connection_closed>;


read_result to_read_result(const boost::system::error_code& failure)
{
    if (failure == http::error::header_limit)
        return bad_request(
            http::status::request_header_fields_too_large,
            "header_too_large",
            "the request head exceeds the size limit of this daemon");
    if (failure == http::error::body_limit)
        return bad_request(
            http::status::payload_too_large,
            "body_too_large",
            "the request body exceeds the size limit of this daemon");
    if (failure == beast::error::timeout)
        return bad_request(
            http::status::request_timeout,
            "slow_request",
            "the request did not arrive in time");
    if (failure.category() ==
            make_error_code(http::error::bad_method).category() &&
        failure != http::error::end_of_stream &&
        failure != http::error::partial_message)
        return bad_request(
            http::status::bad_request,
            "malformed_request",
            "the request is not valid HTTP: " + failure.message());
    return connection_closed{};
}


bool has_unread_bytes(caller_connection& caller)
{
    boost::system::error_code ignored;
    return caller.stream_.socket().available(ignored) > 0;
}


// Waits for the first bytes of the next request. Returns false when no request
// is to be read: the caller closed the connection, the idle time-out expired,
// or the server closes connections. close_idle_callers() interrupts the wait.
asio::awaitable<bool>
wait_for_request(const traffic_thread& thread, caller_connection& caller)
{
    caller.phase_ = caller_phase::idle;
    if (caller.buffer_.size() > 0)
        co_return true;
    for (;;) {
        const bool closing = thread.shared_.closing_;
        // Unread bytes are a request.
        if (closing && caller.used_ && !has_unread_bytes(caller))
            co_return false;
        caller.stream_.expires_after(
            closing ? first_request_time
                    : thread.options_.limits_.idle_timeout_);
        const auto [failure, size] = co_await caller.stream_.async_read_some(
            caller.buffer_.prepare(initial_read_bytes), base::await_tuple);
        caller.buffer_.commit(size);
        if (!failure)
            co_return true;
        const bool interrupted = failure == asio::error::operation_aborted &&
                                 !closing && thread.shared_.closing_;
        if (!interrupted)
            co_return false;
    }
}


using read_outcome = std::tuple<boost::system::error_code, std::size_t>;


asio::awaitable<void> sleep_for(std::chrono::milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(base::await_tuple);
}


// Uses a separate timer: the time-out of tcp_stream closes the socket, so no
// error response could be sent.
asio::awaitable<boost::system::error_code> with_timeout(
    asio::awaitable<read_outcome> reading, std::chrono::milliseconds bound)
{
    using namespace asio::experimental::awaitable_operators;

    const auto ended = co_await (std::move(reading) || sleep_for(bound));
    if (ended.index() == 0)
        co_return std::get<0>(std::get<0>(ended));
    co_return beast::error::timeout;
}


asio::awaitable<read_result>
read_request(const traffic_thread& thread, caller_connection& caller)
{
    const limits& bounds = thread.options_.limits_;
    const bool has_request = co_await wait_for_request(thread, caller);
    if (!has_request)
        co_return connection_closed{};
    caller.phase_ = caller_phase::reading;
    caller.used_ = true;
    if (thread.shared_.aborting_)
        co_return stopping(run_state::unsent);
    base::bounded_parser<true, http::string_body> parser(
        bounds.max_header_bytes_);
    parser.body_limit(bounds.max_body_bytes_);
    // A chunk header and the trailer fields have the limit of the header.
    caller.buffer_.max_size(std::max(
        {std::size_t{bounds.max_header_bytes_},
         min_buffer_bytes,
         caller.buffer_.size()}));
    caller.stream_.expires_never();
    const auto head_failure = co_await with_timeout(
        http::async_read_header(
            caller.stream_, caller.buffer_, parser, base::await_tuple),
        bounds.header_timeout_);
    if (head_failure)
        co_return to_read_result(head_failure);
    if (const auto fault = base::find_transfer_encoding_fault(parser.get()))
        co_return bad_request(
            *fault,
            "bad_transfer_encoding",
            "the only transfer coding that is accepted is chunked, in HTTP/1.1 "
            "and without a Content-Length");
    if (thread.shared_.aborting_)
        co_return stopping(run_state::unsent);
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        http::response<http::empty_body> continue_response(
            http::status::continue_, 11);
        co_await http::async_write(
            caller.stream_, continue_response, base::await_tuple);
    }
    const auto body_failure = co_await with_timeout(
        http::async_read(
            caller.stream_, caller.buffer_, parser, base::await_tuple),
        bounds.body_timeout_);
    if (body_failure)
        co_return to_read_result(body_failure);
    co_return parser.release();
}


bool is_valid_request_id(std::string_view id)
{
    return !id.empty() && id.size() <= max_request_id_bytes &&
           std::all_of(id.begin(), id.end(), [](unsigned char c) {
               return std::isalnum(c) || c == '-' || c == '_' || c == '.';
           });
}


base::request_id make_request_id(traffic_thread& thread)
{
    constexpr int digits = 16;
    std::ostringstream text;
    text << std::hex << std::setfill('0') << std::setw(digits)
         << thread.random_();
    return {text.str()};
}


request_context make_context(traffic_thread& thread, caller_request request)
{
    request_context context;
    context.arrived_ = base::boot_clock::now();
    context.snapshot_ = thread.options_.snapshots_.get();
    const std::string requested_id(request["X-Request-Id"]);
    context.id_ = is_valid_request_id(requested_id)
                      ? base::request_id{requested_id}
                      : make_request_id(thread);
    context.request_ = std::move(request);
    return context;
}


// Health probes and metrics scrapes are not logged: they would fill the log.
bool is_logged(const request_context& context)
{
    return context.label_.workspace_ != "none";
}


void record_outcome(
    traffic_thread& thread,
    const request_context& context,
    const reply& outcome)
{
    auto& metrics = thread.options_.metrics_;
    const auto duration = base::boot_clock::now() - context.arrived_;
    const std::string name = outcome_name(outcome);
    if (std::holds_alternative<refusal>(outcome))
        metrics.add(
            metrics::counter::refusals, {context.label_.workspace_, name});
    if (std::holds_alternative<caller_disconnected>(outcome))
        metrics.add(metrics::counter::cancelled, context.label_);
    if (!is_logged(context))
        return;
    metrics.add(metrics::counter::requests, context.label_);
    metrics.observe(metrics::latency::request, context.label_, duration);
    base::event_line line("request");
    line.field("request", context.id_)
        .field("workspace", context.workspace_)
        .field("class", context.label_.class_)
        .field("target", std::string_view(context.request_.target()))
        .field("upstream", context.report_.upstream_)
        .field("attempts", context.report_.attempts_)
        .field("tokens", context.report_.tokens_)
        .field("outcome", name)
        .field("took", duration);
    if (context.report_.first_token_)
        line.field("first_token", *context.report_.first_token_);
}


// Returns true when the connection can be reused.
asio::awaitable<bool> write_response(
    traffic_thread& thread,
    caller_connection& caller,
    buffered_response response,
    bool keep_alive)
{
    const bool keep = keep_alive && !thread.shared_.closing_;
    response.keep_alive(keep);
    response.prepare_payload();
    caller.stream_.expires_after(thread.options_.limits_.idle_timeout_);
    const auto [failure, sent] =
        co_await http::async_write(caller.stream_, response, base::await_tuple);
    co_return keep && !failure;
}


asio::awaitable<bool> write_reply(
    traffic_thread& thread,
    caller_connection& caller,
    const request_context& context,
    reply outcome)
{
    const bool keep = context.request_.keep_alive();
    if (auto* refused = std::get_if<refusal>(&outcome)) {
        auto response = to_response(*refused);
        response.set("X-Request-Id", context.id_.value_);
        co_return co_await write_response(
            thread, caller, std::move(response), keep);
    }
    if (auto* response = std::get_if<buffered_response>(&outcome)) {
        response->set("X-Request-Id", context.id_.value_);
        co_return co_await write_response(
            thread, caller, std::move(*response), keep);
    }
    co_return std::holds_alternative<streamed>(outcome) && keep &&
        !caller.ends_with_connection_ && !thread.shared_.closing_;
}


asio::awaitable<void> store_reply(
    traffic_thread& thread,
    caller_connection& caller,
    request_context& context,
    std::optional<reply>& answer)
{
    answer = co_await serve_request(thread, caller, context);
}


asio::awaitable<void> wait_for_abort(traffic_thread& thread)
{
    co_await thread.abort_.async_wait(base::await_tuple);
}


// Serves a request until the server ends the requests in progress. A caller
// without a response gets a last one then.
asio::awaitable<reply> serve_until_abort(
    traffic_thread& thread, caller_connection& caller, request_context& context)
{
    using namespace asio::experimental::awaitable_operators;

    // operator|| flattens variants, so the reply is returned by reference.
    std::optional<reply> answer;
    const auto ended = co_await (
        store_reply(thread, caller, context, answer) || wait_for_abort(thread));
    const bool aborted = ended.index() == 1;
    // Handlers that are cancelled take that for a disconnect.
    const bool answered =
        answer && !std::holds_alternative<caller_disconnected>(*answer);
    if (answer && (answered || !aborted))
        co_return std::move(*answer);
    if (caller.response_begun_)
        co_return broken_stream{"the daemon exits"};
    co_return stopping(run_state::maybe_sent);
}


asio::awaitable<bool>
serve_next(traffic_thread& thread, caller_connection& caller)
{
    auto read = co_await read_request(thread, caller);
    if (caller.phase_ == caller_phase::reading && thread.shared_.aborting_)
        read = stopping(run_state::unsent);
    if (std::holds_alternative<connection_closed>(read))
        co_return false;
    caller.phase_ = caller_phase::serving;
    caller.response_begun_ = false;
    const count_guard request_guard(thread.shared_.requests_);
    if (auto* refused = std::get_if<refusal>(&read)) {
        thread.options_.metrics_.add(
            metrics::counter::bad_requests, {"none", refused->type_});
        co_await write_response(thread, caller, to_response(*refused), false);
        co_return false;
    }
    request_context context =
        make_context(thread, std::get<caller_request>(std::move(read)));
    const set_guard<const request_context> context_guard(
        thread.requests_, context);
    reply outcome = co_await serve_until_abort(thread, caller, context);
    record_outcome(thread, context, outcome);
    co_return co_await write_reply(thread, caller, context, std::move(outcome));
}

// Closing a socket with unread input resets the connection, and the caller
// could lose the response; so input is read and discarded before the close.
asio::awaitable<void> close_after_linger(caller_connection& caller)
{
    boost::system::error_code ignored;
    caller.stream_.socket().shutdown(
        asio::ip::tcp::socket::shutdown_send, ignored);
    caller.stream_.expires_after(linger_timeout);
    std::array<char, discard_buffer_bytes> bytes{};
    for (;;) {
        const auto [failure, size] = co_await caller.stream_.async_read_some(
            asio::buffer(bytes), base::await_tuple);
        if (failure)
            co_return;
    }
}

} // namespace

asio::awaitable<void>
run_session(traffic_thread& thread, asio::ip::tcp::socket socket)
{
    const count_guard connection_guard(thread.shared_.connections_);
    caller_connection caller(std::move(socket));
    boost::system::error_code ignored;
    caller.stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    const set_guard<caller_connection> caller_guard(thread.callers_, caller);
    while (co_await serve_next(thread, caller)) {
    }
    caller.phase_ = caller_phase::closing;
    if (caller.resets_)
        co_return;
    co_await close_after_linger(caller);
}

} // namespace monsoondock::traffic::pvt
