#include "caller_session.hpp"

#include "buffer_sizes.hpp"
#include "connection_bounds.hpp"
#include "detour.hpp"
#include "forward.hpp"
#include "http_serializer.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/bounded_parser.hpp>
#include <monsoondock/base/event_line.hpp>
#include <monsoondock/base/stable_hash.hpp>
#include <monsoondock/base/transfer_encoding.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <charconv>
#include <variant>

namespace monsoondock::relay::pvt {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds body_timeout{20000};
// Upper bound of a deadline. A request without a valid one gets this, bounded
// by the timeout of its route.
constexpr milliseconds max_request_timeout{600000};
constexpr milliseconds retry_after_without_settings{300};
// About the time of one response, which frees the memory of its request.
constexpr milliseconds retry_after_without_memory{500};
// How long to read and discard what the caller still sends after the last
// response. Closing the connection earlier would reset it before the caller has
// read the response.
constexpr milliseconds discard_time{300};
// Maximum size of the buffer of a connection where the limit of a header is
// smaller.
constexpr std::size_t min_buffer_bytes = std::size_t{64} * 1024;


// The connection has ended or cannot be used any longer.
struct closed
{};

/// A request and the memory of its body.
struct received_request
{
    http_request request_;
    base::byte_lease memory_;
};

using read_result = std::variant<received_request, local_response, closed>;
using request_parser = base::bounded_parser<true, http::string_body>;


local_response rejection(http::status status, std::string_view reason)
{
    return {status, reason, {}};
}


void enter_phase(
    caller_connection& connection, caller_phase phase, milliseconds limit)
{
    connection.phase_ = phase;
    connection.timed_out_ = false;
    connection.phase_deadline_ = base::boot_clock::now() + limit;
}


read_result
to_result(const caller_connection& connection, const beast::error_code& failure)
{
    if (connection.timed_out_)
        return rejection(http::status::request_timeout, "request_timeout");
    if (failure == http::error::header_limit)
        return rejection(
            http::status::request_header_fields_too_large, "header_too_large");
    if (failure == http::error::body_limit)
        return rejection(http::status::payload_too_large, "body_too_large");
    // Errors in Beast's category are protocol errors; all others are failures
    // of the connection.
    if (failure.category() ==
            http::make_error_code(http::error::bad_method).category() &&
        failure != http::error::end_of_stream &&
        failure != http::error::partial_message)
        return rejection(http::status::bad_request, "malformed_request");
    return closed{};
}


// Returns false when no further request is to be read.
asio::awaitable<bool> wait_for_bytes(
    const proxy_thread& t, caller_connection& connection, milliseconds limit)
{
    if (connection.buffer_.size() > 0)
        co_return true;
    enter_phase(connection, caller_phase::idle, limit);
    if (t.closing_)
        close_when_idle(connection);
    const auto [failure] = co_await connection.socket_.async_wait(
        asio::ip::tcp::socket::wait_read, base::await_tuple);
    co_return !failure && !connection.timed_out_ && !connection.disconnected_ &&
        !connection.half_closed_;
}


// Reads the body of a request. Returns false when there is no memory for it.
// What a caller only announces takes none.
asio::awaitable<bool> read_body(
    caller_connection& connection,
    request_parser& parser,
    base::byte_lease& memory,
    beast::error_code& failure)
{
    for (;;) {
        const std::string& body = parser.get().body();
        const bool announced = parser.content_length().has_value();
        if (!memory.resize(announced ? body.size() : body.capacity()))
            co_return false;
        if (parser.is_done())
            co_return true;
        const auto [read_failure, size] = co_await http::async_read_some(
            connection.socket_, connection.buffer_, parser, base::await_tuple);
        failure = read_failure;
        if (failure)
            co_return true;
    }
}


asio::awaitable<read_result> read_request(
    proxy_thread& t,
    caller_connection& connection,
    const catalog::caller_limits& limits)
{
    if (!co_await wait_for_bytes(t, connection, limits.idle_timeout_))
        co_return closed{};
    connection.used_ = true;
    request_parser parser(static_cast<std::uint32_t>(limits.max_header_bytes_));
    // A chunk header and the trailer fields have the limit of the header.
    connection.buffer_.max_size(std::max(
        {limits.max_header_bytes_,
         min_buffer_bytes,
         connection.buffer_.size()}));
    parser.body_limit(limits.max_body_bytes_);
    enter_phase(connection, caller_phase::header, limits.header_timeout_);
    const auto [head_failure, head_size] = co_await http::async_read_header(
        connection.socket_, connection.buffer_, parser, base::await_tuple);
    if (head_failure)
        co_return to_result(connection, head_failure);
    if (const auto fault = base::find_transfer_encoding_fault(parser.get()))
        co_return rejection(*fault, "bad_transfer_encoding");
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        static constexpr std::string_view continue_response =
            "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(
            connection.socket_,
            asio::buffer(continue_response),
            base::await_tuple);
    }
    enter_phase(connection, caller_phase::body, body_timeout);
    base::byte_lease memory(t.request_memory_);
    beast::error_code failure;
    const bool fits = co_await read_body(connection, parser, memory, failure);
    if (!fits)
        co_return local_response{
            http::status::service_unavailable,
            "request_memory",
            retry_after_without_memory};
    if (failure)
        co_return to_result(connection, failure);
    connection.phase_ = caller_phase::exchange;
    co_return received_request{parser.release(), std::move(memory)};
}


std::optional<std::int64_t> to_number(std::string_view text)
{
    std::int64_t value = 0;
    const auto [stop, failure] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc() || stop != text.data() + text.size())
        return std::nullopt;
    return value;
}


milliseconds
requested_timeout(const http_request& request, const header_names& names)
{
    const auto text = request[names.time_left_];
    const auto value = to_number({text.data(), text.size()});
    if (!value || *value < 0 || *value > max_request_timeout.count())
        return max_request_timeout;
    return milliseconds(*value);
}


// A request that a caller resubmits after a crash has the same method, target,
// workspace and body, but another id.
std::uint64_t fingerprint(const exchange& e)
{
    std::string text(e.request_.method_string());
    text.append(" ").append(std::string_view(e.request_.target()));
    text.append("\n").append(e.workspace_).append("\n");
    text.append(e.request_.body());
    return base::stable_hash(text);
}


/// Either a request that is ready to be forwarded, or the response to reject
/// it.
using admission = std::variant<std::shared_ptr<exchange>, local_response>;


std::optional<local_response> check_key(exchange& e, const catalog::catalog& c)
{
    e.priority_ = e.route_->priority_;
    if (!c.keys_required_)
        return std::nullopt;
    static constexpr std::string_view scheme = "Bearer ";
    const auto header = e.request_[http::field::authorization];
    const std::string_view text(header.data(), header.size());
    const catalog::key_holder* holder = nullptr;
    if (text.starts_with(scheme))
        holder = catalog::find_key(c, text.substr(scheme.size()));
    if (holder == nullptr && e.route_->public_)
        return std::nullopt;
    if (holder == nullptr)
        return rejection(http::status::unauthorized, "unknown_key");
    e.workspace_ = holder->workspace_.value_;
    e.priority_ = holder->priority_.value_or(e.priority_);
    return std::nullopt;
}


void read_token_counts(exchange& e, const header_names& names)
{
    const auto counts = e.request_[names.token_counts_];
    const std::string_view text(counts.data(), counts.size());
    const std::size_t comma = text.find(',');
    e.prompt_tokens_ = double(to_number(text.substr(0, comma)).value_or(0));
    double max_answer_tokens = 0;
    if (comma != std::string_view::npos)
        max_answer_tokens =
            double(to_number(text.substr(comma + 1)).value_or(0));
    const auto estimate = e.request_[names.answer_estimate_];
    const auto answer_tokens = to_number({estimate.data(), estimate.size()});
    e.answer_tokens_ =
        answer_tokens ? double(*answer_tokens) : max_answer_tokens;
}


admission admit(
    proxy_thread& t,
    const std::shared_ptr<caller_connection>& connection,
    received_request request,
    base::time_point received)
{
    auto e = std::make_shared<exchange>();
    e->caller_ = connection;
    e->view_ = t.view_;
    e->request_ = std::move(request.request_);
    e->request_memory_ = std::move(request.memory_);
    e->received_ = received;
    const header_names& names = t.config_.headers_;
    e->id_ = std::string(e->request_[names.request_id_]);
    if (e->view_->catalog_ == nullptr)
        return local_response{
            http::status::service_unavailable,
            "no_settings",
            retry_after_without_settings};
    if (e->id_.empty())
        return rejection(http::status::bad_request, "no_request_id");
    const catalog::catalog& c = *e->view_->catalog_;
    const auto host = e->request_[http::field::host];
    const auto target = e->request_.target();
    e->route_ = catalog::find_route(
        c, {host.data(), host.size()}, {target.data(), target.size()});
    if (e->route_ == nullptr)
        return rejection(http::status::not_found, "no_route");
    if (auto refusal = check_key(*e, c))
        return *refusal;
    if (connection->from_daemon_)
        read_detour_fields(*e);
    e->model_ = std::string(e->request_[names.model_]);
    read_token_counts(*e, names);
    e->fingerprint_ = fingerprint(*e);
    const auto parts = e->request_[names.prompt_parts_];
    e->prompt_hash_ = base::stable_hash({parts.data(), parts.size()});
    e->prompt_parts_ =
        crashes::parse_shared_parts({parts.data(), parts.size()});
    e->deadline_ =
        received + std::min<milliseconds>(
                       requested_timeout(e->request_, names),
                       e->route_->timeout_.count() > 0 ? e->route_->timeout_
                                                       : max_request_timeout);
    return e;
}


void log_refusal(const local_response& response, std::string_view request_id)
{
    base::event_line("refused")
        .field("request", request_id)
        .field("status", static_cast<unsigned>(response.status_))
        .field("reason", response.reason_);
}


// Returns true when the connection can be used for another request.
asio::awaitable<bool> serve_request(
    proxy_thread& t,
    const std::shared_ptr<caller_connection>& connection,
    received_request request,
    base::time_point received)
{
    const bool keep_alive =
        request.request_.keep_alive() && !t.view_->stopping_;
    const std::string id(request.request_[t.config_.headers_.request_id_]);
    auto admitted = admit(t, connection, std::move(request), received);
    if (auto* e = std::get_if<std::shared_ptr<exchange>>(&admitted))
        co_return co_await forward(t, std::move(*e));
    local_response& response = std::get<local_response>(admitted);
    response.refuses_detour_ = connection->from_daemon_;
    log_refusal(response, id);
    t.metrics_.add(
        metrics::counter::bad_requests,
        {"none", std::string(response.reason_)});
    const bool sent = co_await write_local_response(
        *connection,
        serialize_local_response(response, t.config_.headers_, id, keep_alive));
    co_return sent&& keep_alive;
}


asio::awaitable<void> discard_rest(caller_connection& connection)
{
    boost::system::error_code ignored;
    connection.socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    enter_phase(connection, caller_phase::body, discard_time);
    std::array<char, 4096> rest{};
    while (!connection.timed_out_) {
        const auto [failure, size] =
            co_await connection.socket_.async_read_some(
                asio::buffer(rest), base::await_tuple);
        if (failure)
            co_return;
    }
}


asio::awaitable<void> run_requests(
    proxy_thread& t, const std::shared_ptr<caller_connection>& connection)
{
    for (;;) {
        catalog::caller_limits limits;
        if (t.view_->catalog_ != nullptr)
            limits = t.view_->catalog_->limits_;
        auto read = co_await read_request(t, *connection, limits);
        if (std::holds_alternative<closed>(read))
            co_return;
        if (const auto* response = std::get_if<local_response>(&read)) {
            log_refusal(*response, "");
            co_await write_local_response(
                *connection,
                serialize_local_response(
                    *response, t.config_.headers_, "", false));
            co_await discard_rest(*connection);
            co_return;
        }
        const base::time_point received = base::boot_clock::now();
        const bool keep_alive = co_await serve_request(
            t,
            connection,
            std::get<received_request>(std::move(read)),
            received);
        if (!keep_alive)
            break;
    }
    if (connection->socket_.is_open() && !connection->disconnected_)
        co_await discard_rest(*connection);
}

} // namespace

asio::awaitable<void>
run_session(proxy_thread& t, asio::ip::tcp::socket socket, bool from_daemon)
{
    bound_connection(socket);
    boost::system::error_code ignored;
    socket.set_option(
        asio::socket_base::send_buffer_size(socket_buffer_bytes), ignored);
    const auto connection =
        std::make_shared<caller_connection>(std::move(socket));
    connection->from_daemon_ = from_daemon;
    t.caller_connections_.insert(connection);
    co_await run_requests(t, connection);
    t.caller_connections_.erase(connection);
    connection->socket_.close(ignored);
    --t.open_connections_;
}

} // namespace monsoondock::relay::pvt
