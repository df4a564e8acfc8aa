#include "receive_response.hpp"

#include "confirm_end.hpp"
#include "detour.hpp"
#include "failure_reason.hpp"
#include "relay_stream.hpp"
#include "upstream_limits.hpp"
#include "upstream_pace.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/event_line.hpp>
#include <monsoondock/base/status_class.hpp>
#include <monsoondock/hostlimits/pause.hpp>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <charconv>

namespace monsoondock::relay::pvt {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t max_buffered_body_bytes = std::size_t{16} * 1024 * 1024;
constexpr std::uint32_t max_response_header_bytes = 64 * 1024;
// Maximum number of responses to earlier requests that are skipped, and the
// maximum size of their bodies.
constexpr int max_mismatched_responses = 2;
constexpr std::size_t max_mismatched_body_bytes = std::size_t{1024} * 1024;
// How long an upstream keeps an idle connection open when it does not say so.
constexpr std::chrono::milliseconds default_keep_alive{700};
// Subtracted because the upstream may close the connection while a request is
// in transit.
constexpr std::chrono::milliseconds keep_alive_margin{400};
// Weight of a new sample in the moving average of the time between events.
constexpr double interval_weight = 0.1;


// Reads the status line and header of the response. Responses that carry the id
// of another request are read and discarded.
asio::awaitable<bool> read_response_header(try_context& c)
{
    exchange& e = c.e_;
    const std::string& id_name = c.t_.config_.headers_.request_id_;
    for (int skipped = 0; skipped <= max_mismatched_responses;) {
        if (c.parser_ == nullptr)
            c.parser_ = make_parser(e);
        const auto [failure, size] = co_await http::async_read_header(
            e.upstream_->socket_,
            e.upstream_->buffer_,
            *c.parser_,
            base::await_tuple);
        if (failure)
            co_return fail(c, failure_reason(failure));
        e.upstream_->header_bytes_ += size;
        http_response_parser& parser = *c.parser_;
        if (base::status_class_of(parser.get()) ==
            http::status_class::informational) {
            c.parser_.reset();
            if (e.upstream_->header_bytes_ > max_response_header_bytes)
                co_return fail(c, "informational_responses");
            continue;
        }
        const auto id = parser.get()[id_name];
        if (id == e.id_)
            co_return true;
        base::event_line("mismatched_response", base::severity::warning)
            .field("request", e.id_)
            .field("response_to", std::string_view(id))
            .field("host", c.target_.host_);
        const auto length = parser.content_length();
        const bool too_large = length && *length > max_mismatched_body_bytes;
        if (parser.need_eof() || too_large) {
            c.parser_.reset();
            co_return fail(c, "other_request");
        }
        parser.body_limit(max_mismatched_body_bytes);
        const auto [body_failure, body_size] = co_await http::async_read(
            e.upstream_->socket_,
            e.upstream_->buffer_,
            parser,
            base::await_tuple);
        c.parser_.reset();
        if (body_failure)
            co_return fail(c, "other_request");
        ++skipped;
    }
    co_return fail(c, "other_request");
}


std::chrono::milliseconds keep_alive_time(const http_response& response)
{
    // param_list refers to the text without owning it.
    const std::string parameters =
        std::string(";").append(response[http::field::keep_alive]);
    for (const auto& p : http::param_list(parameters)) {
        if (p.first != "timeout")
            continue;
        int seconds = 0;
        std::from_chars(
            p.second.data(), p.second.data() + p.second.size(), seconds);
        return std::chrono::seconds(seconds) - keep_alive_margin;
    }
    return default_keep_alive - keep_alive_margin;
}


bool was_not_run(const try_context& c, const http_response& response)
{
    return response.count(c.t_.config_.headers_.not_run_) > 0 ||
           response.result() == http::status::misdirected_request;
}


std::string address_text(const asio::ip::tcp::endpoint& address)
{
    return address.address().to_string() + ":" + std::to_string(address.port());
}


// Records what the header of a response says about requests that are not sent
// yet.
void record_availability(try_context& c, const http_response& response)
{
    // Another host may respond at the address of a host that has gone. What a
    // response that took a detour says is for the daemon that received it.
    if (c.detour_ || response.result() == http::status::misdirected_request)
        return;
    upstream_state& s = c.t_.upstream_table_.state_of(c.target_.host_);
    s.process_start_ms_ = c.target_.process_start_ms_;
    if (response.count(c.t_.config_.headers_.leaving_) > 0 && !s.leaving_) {
        s.leaving_ = true;
        base::event_line("upstream_leaving")
            .field("request", c.e_.id_)
            .field("host", c.target_.host_);
        if (c.t_.callbacks_.on_leaving_)
            c.t_.callbacks_.on_leaving_(c.target_.host_);
    }
    const auto limit = response[c.t_.config_.headers_.limit_];
    if (!limit.empty())
        base::event_line("upstream_limited")
            .field("request", c.e_.id_)
            .field("host", c.target_.host_)
            .field("limit", std::string_view(limit));
    record_limit(c.t_, c.target_, {limit.data(), limit.size()});
    if (response.result() != http::status::service_unavailable)
        return;
    const auto pause =
        hostlimits::parse_retry_after(response[http::field::retry_after]);
    if (!pause)
        return;
    s.paused_until_ =
        std::max(s.paused_until_, base::boot_clock::now() + *pause);
    base::event_line("upstream_paused")
        .field("request", c.e_.id_)
        .field("host", c.target_.host_)
        .field("pause", *pause);
}


void handle_rejection(try_context& c, const http_response& response)
{
    const auto failed = response[c.t_.config_.headers_.failed_host_];
    base::event_line("upstream_rejected")
        .field("request", c.e_.id_)
        .field("host", c.target_.host_)
        .field("status", response.result_int())
        .field("failed_host", std::string_view(failed));
    // An upstream that is merely at capacity names itself.
    if (!failed.empty() && failed != address_text(c.target_.address_))
        report_unhealthy(
            c.t_,
            {c.target_.host_,
             unhealthy_reason::group_failed,
             std::string(failed)});
}


// Reads the rest of a response that is not a stream.
asio::awaitable<try_outcome>
read_buffered_response(try_context& c, http_response_parser& parser)
{
    exchange& e = c.e_;
    for (;;) {
        if (!c.state_.memory_.resize(parser.get().body().capacity()))
            co_return lose(c, "response_memory");
        if (parser.is_done())
            break;
        const auto [failure, size] = co_await http::async_read_some(
            e.upstream_->socket_,
            e.upstream_->buffer_,
            parser,
            base::await_tuple);
        c.state_.body_bytes_ = parser.get().body().size();
        if (failure)
            co_return lose(c, failure_reason(failure));
    }
    base::body_end end = body_end_of(c, parser);
    // A rejection is told by the header alone.
    if (base::judge(end) == base::end_verdict::unconfirmed &&
        !was_not_run(c, parser.get()))
        end.host_ = co_await check_host(c);
    if (base::judge(end) == base::end_verdict::broken_off)
        co_return lose(c, base::reason_of(end));
    record_progress(c);
    record_call(c, parser.get());
    return_to_pool(c, parser);
    http_response response = parser.release();
    c.parser_.reset();
    const bool sealed = response.count(c.t_.config_.headers_.seal_) > 0;
    if (c.detour_ && is_refused_by_helper(response)) {
        fail(c, "refused_by_helper");
        co_return try_outcome::rejected;
    }
    if (!c.detour_ && was_not_run(c, response)) {
        handle_rejection(c, response);
        co_return try_outcome::rejected;
    }
    const bool encoded = response.count(http::field::content_encoding) > 0;
    const bool success =
        base::status_class_of(response) == http::status_class::successful;
    if (success && (!sealed || encoded))
        co_return lose(c, "not_sealed");
    c.state_.buffered_response_ = std::move(response);
    co_return try_outcome::answered;
}


} // namespace

upstream_state& target_state(const try_context& c)
{
    return (c.detour_ ? c.t_.helper_table_ : c.t_.upstream_table_)
        .state_of(c.target_.host_);
}


void record_progress(try_context& c)
{
    const base::time_point now = base::boot_clock::now();
    upstream_state& s = target_state(c);
    s.last_progress_ = now;
    if (c.e_.phase_ == wait_phase::next_event) {
        const std::chrono::duration<double, std::milli> pause =
            now - c.e_.phase_start_;
        s.event_interval_ms_ =
            s.event_interval_ms_ == 0
                ? pause.count()
                : s.event_interval_ms_ +
                      interval_weight * (pause.count() - s.event_interval_ms_);
    }
}


void return_to_pool(try_context& c, const http_response_parser& parser)
{
    exchange& e = c.e_;
    if (!parser.keep_alive() || parser.need_eof() ||
        e.upstream_->buffer_.size() > 0 || e.stop_reason_ != stop_reason::none)
        return;
    const auto idle = keep_alive_time(parser.get());
    if (idle.count() <= 0)
        return;
    e.upstream_->usable_until_ = base::boot_clock::now() + idle;
    c.t_.upstream_pool_.put(
        c.target_.address_, c.target_.host_.value_, std::move(e.upstream_));
}


bool is_event_stream(const exchange& e, const http_response& response)
{
    if (!catalog::is_stream(e.route_->kind_) ||
        response.result() != http::status::ok)
        return false;
    return response[http::field::content_type].starts_with("text/event-stream");
}


std::unique_ptr<http_response_parser> make_parser(const exchange& e)
{
    auto parser =
        std::make_unique<http_response_parser>(max_response_header_bytes);
    parser->body_limit(max_buffered_body_bytes);
    parser->eager(true);
    if (e.request_.method() == http::verb::head)
        parser->skip(true);
    return parser;
}


void enter_phase(exchange& e, wait_phase phase)
{
    e.phase_ = phase;
    e.phase_start_ = base::boot_clock::now();
    e.received_bytes_ = false;
}


bool fail(try_context& c, std::string_view reason)
{
    c.state_.failure_ = reason;
    return false;
}


try_outcome lose(try_context& c, std::string_view reason)
{
    fail(c, reason);
    return try_outcome::lost;
}


asio::awaitable<try_outcome> receive_response(try_context& c)
{
    exchange& e = c.e_;
    if (!c.parser_->is_header_done()) {
        const bool received = co_await read_response_header(c);
        if (!received)
            co_return try_outcome::lost;
        record_availability(c, c.parser_->get());
        c.state_.response_began_ = base::boot_clock::now();
    }
    c.state_.framing_ = base::framing_of(*c.parser_);
    if (is_event_stream(e, c.parser_->get()))
        co_return co_await relay_stream(c, *c.parser_);
    const try_outcome outcome = co_await read_buffered_response(c, *c.parser_);
    if (outcome == try_outcome::rejected)
        --e.possible_runs_;
    co_return outcome;
}

} // namespace monsoondock::relay::pvt
