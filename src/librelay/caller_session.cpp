#include "caller_session.hpp"

#include "forward.hpp"
#include "http_text.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/event_line.hpp>
#include <monsoondock/base/silence_bounds.hpp>
#include <monsoondock/base/stable_hash.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <charconv>
#include <variant>

namespace monsoondock::relay::pvt {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

using std::chrono::milliseconds;

// Longest wait for the body of a request.
constexpr milliseconds body_timeout{20000};
// A caller that names no deadline waits as long as the route allows.
constexpr milliseconds longest_deadline{600000};
constexpr milliseconds return_without_settings{300};
// After a refusal, what the caller still sends is read for so long, since
// closing earlier would reset the connection before the caller has read it.
constexpr milliseconds discard_time{300};

// The connection ended or can't be used any further.
struct closed
{};

using read_result = std::variant<http_request, own_answer, closed>;


own_answer bad(http::status status, std::string_view reason)
{
    return {status, reason, {}};
}


void enter(caller_link& link, link_phase phase, milliseconds limit)
{
    link.phase_ = phase;
    link.timed_out_ = false;
    link.phase_end_ = base::boot_clock::now() + limit;
}


read_result to_result(const caller_link& link, const beast::error_code& failure)
{
    if (link.timed_out_)
        return bad(http::status::request_timeout, "request_timeout");
    if (failure == http::error::header_limit)
        return bad(
            http::status::request_header_fields_too_large, "header_too_large");
    if (failure == http::error::body_limit)
        return bad(http::status::payload_too_large, "body_too_large");
    // Beast's errors of the protocol; all others are of the connection.
    if (failure.category() ==
            http::make_error_code(http::error::bad_method).category() &&
        failure != http::error::end_of_stream &&
        failure != http::error::partial_message)
        return bad(http::status::bad_request, "malformed_request");
    return closed{};
}


asio::awaitable<bool> wait_for_bytes(caller_link& link, milliseconds limit)
{
    if (link.buffer_.size() > 0)
        co_return true;
    enter(link, link_phase::idle, limit);
    const auto [failure] = co_await link.socket_.async_wait(
        asio::ip::tcp::socket::wait_read, base::await_tuple);
    co_return !failure && !link.timed_out_ && !link.left_;
}


asio::awaitable<read_result>
read_request(caller_link& link, const catalog::caller_limits& limits)
{
    if (!co_await wait_for_bytes(link, limits.idle_timeout_))
        co_return closed{};
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes_));
    parser.body_limit(limits.max_body_bytes_);
    enter(link, link_phase::header, limits.header_timeout_);
    const auto [head_failure, head_size] = co_await http::async_read_header(
        link.socket_, link.buffer_, parser, base::await_tuple);
    if (head_failure)
        co_return to_result(link, head_failure);
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        static constexpr std::string_view go_on =
            "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(
            link.socket_, asio::buffer(go_on), base::await_tuple);
    }
    enter(link, link_phase::body, body_timeout);
    const auto [failure, size] = co_await http::async_read(
        link.socket_, link.buffer_, parser, base::await_tuple);
    if (failure)
        co_return to_result(link, failure);
    link.phase_ = link_phase::exchange;
    co_return parser.release();
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


milliseconds time_given(const http_request& request, const header_names& names)
{
    const auto text = request[names.time_left_];
    const auto value = to_number({text.data(), text.size()});
    if (!value || *value < 0 || *value > longest_deadline.count())
        return longest_deadline;
    return milliseconds(*value);
}


// Requests that a caller sends again after a crash have the same method,
// target, workspace and body, but another id.
std::uint64_t fingerprint(const exchange& e)
{
    std::string text(e.request_.method_string());
    text.append(" ").append(std::string_view(e.request_.target()));
    text.append("\n").append(e.workspace_).append("\n");
    text.append(e.request_.body());
    return base::stable_hash(text);
}


/// Either the request is ready to be forwarded, or the answer to it.
using admission = std::variant<std::shared_ptr<exchange>, own_answer>;


std::optional<own_answer> check_key(exchange& e, const catalog::catalog& c)
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
        return bad(http::status::unauthorized, "unknown_key");
    e.workspace_ = holder->workspace_.value_;
    e.priority_ = holder->priority_.value_or(e.priority_);
    return std::nullopt;
}


void read_size(exchange& e, const header_names& names)
{
    const auto counts = e.request_[names.token_counts_];
    const std::string_view text(counts.data(), counts.size());
    const std::size_t comma = text.find(',');
    e.prompt_tokens_ = double(to_number(text.substr(0, comma)).value_or(0));
    const auto estimate = e.request_[names.answer_estimate_];
    auto answer = to_number({estimate.data(), estimate.size()});
    if (!answer && comma != std::string_view::npos)
        answer = to_number(text.substr(comma + 1));
    e.answer_tokens_ = double(answer.value_or(0));
}


admission admit(
    proxy_thread& t,
    const std::shared_ptr<caller_link>& link,
    http_request request,
    base::time_point received)
{
    auto e = std::make_shared<exchange>();
    e->caller_ = link;
    e->view_ = t.view_;
    e->request_ = std::move(request);
    e->received_ = received;
    const header_names& names = t.config_.headers_;
    e->id_ = std::string(e->request_[names.request_id_]);
    if (e->view_->catalog_ == nullptr)
        return own_answer{
            http::status::service_unavailable,
            "no_settings",
            return_without_settings};
    if (e->id_.empty())
        return bad(http::status::bad_request, "no_request_id");
    const catalog::catalog& c = *e->view_->catalog_;
    const auto host = e->request_[http::field::host];
    const auto target = e->request_.target();
    e->route_ = catalog::find_route(
        c, {host.data(), host.size()}, {target.data(), target.size()});
    if (e->route_ == nullptr)
        return bad(http::status::not_found, "no_route");
    if (auto refusal = check_key(*e, c))
        return *refusal;
    e->model_ = std::string(e->request_[names.model_]);
    read_size(*e, names);
    e->fingerprint_ = fingerprint(*e);
    e->due_ =
        received + std::min<milliseconds>(
                       time_given(e->request_, names),
                       e->route_->timeout_.count() > 0 ? e->route_->timeout_
                                                       : longest_deadline);
    return e;
}


void log_refusal(const own_answer& answer, std::string_view request_id)
{
    base::event_line("refused")
        .field("request", request_id)
        .field("status", static_cast<unsigned>(answer.status_))
        .field("reason", answer.reason_);
}


// Returns true when the connection can take another request.
asio::awaitable<bool> serve_one(
    proxy_thread& t,
    const std::shared_ptr<caller_link>& link,
    http_request request,
    base::time_point received)
{
    const bool keep = request.keep_alive() && !t.view_->stopping_;
    const std::string id(request[t.config_.headers_.request_id_]);
    auto admitted = admit(t, link, std::move(request), received);
    if (auto* e = std::get_if<std::shared_ptr<exchange>>(&admitted))
        co_return co_await forward(t, std::move(*e));
    const own_answer& answer = std::get<own_answer>(admitted);
    log_refusal(answer, id);
    t.metrics_.add(
        metrics::counter::bad_requests, {"none", std::string(answer.reason_)});
    const bool sent = co_await write_own_answer(
        *link, own_answer_text(answer, t.config_.headers_, id, keep));
    co_return sent&& keep;
}


asio::awaitable<void> discard_rest(caller_link& link)
{
    boost::system::error_code ignored;
    link.socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    enter(link, link_phase::body, discard_time);
    std::array<char, 4096> rest{};
    while (!link.timed_out_) {
        const auto [failure, size] = co_await link.socket_.async_read_some(
            asio::buffer(rest), base::await_tuple);
        if (failure)
            co_return;
    }
}


asio::awaitable<void>
run_requests(proxy_thread& t, const std::shared_ptr<caller_link>& link)
{
    for (;;) {
        catalog::caller_limits limits;
        if (t.view_->catalog_ != nullptr)
            limits = t.view_->catalog_->limits_;
        auto read = co_await read_request(*link, limits);
        if (std::holds_alternative<closed>(read))
            co_return;
        if (const auto* answer = std::get_if<own_answer>(&read)) {
            log_refusal(*answer, "");
            co_await write_own_answer(
                *link, own_answer_text(*answer, t.config_.headers_, "", false));
            co_await discard_rest(*link);
            co_return;
        }
        const base::time_point received = base::boot_clock::now();
        const bool keep = co_await serve_one(
            t, link, std::get<http_request>(std::move(read)), received);
        if (!keep)
            break;
    }
    if (link->socket_.is_open() && !link->left_)
        co_await discard_rest(*link);
}

} // namespace

asio::awaitable<void> run_session(proxy_thread& t, asio::ip::tcp::socket socket)
{
    base::detect_silence(socket, connection_bounds);
    const auto link = std::make_shared<caller_link>(std::move(socket));
    t.callers_.insert(link);
    co_await run_requests(t, link);
    t.callers_.erase(link);
    boost::system::error_code ignored;
    link->socket_.close(ignored);
}

} // namespace monsoondock::relay::pvt
