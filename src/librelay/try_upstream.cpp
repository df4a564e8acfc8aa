#include "try_upstream.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/event_line.hpp>
#include <monsoondock/base/silence_bounds.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <charconv>

namespace monsoondock::relay::pvt {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

using answer_parser = http::response_parser<http::string_body>;

constexpr std::size_t max_plain_bytes = std::size_t{16} * 1024 * 1024;
constexpr std::uint32_t max_answer_header_bytes = 64 * 1024;
// Answers to earlier requests that may come before the own one.
constexpr int max_foreign_answers = 2;
// An idle connection is kept this long when the upstream does not tell.
constexpr std::chrono::milliseconds default_idle{700};
// The upstream's own timer may run out while a request is on its way.
constexpr std::chrono::milliseconds idle_margin{400};
// Weight of a new measurement of the time between events.
constexpr double interval_weight = 0.1;


struct try_context
{
    proxy_thread& t_;
    exchange& e_;
    relay_state& state_;
    upstream target_;
};


void enter(exchange& e, wait_phase phase)
{
    e.phase_ = phase;
    e.phase_start_ = base::boot_clock::now();
}


void note_progress(try_context& c)
{
    const base::time_point now = base::boot_clock::now();
    upstream_state& s = c.t_.board_.of(c.target_.host_);
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


asio::awaitable<bool> connect(try_context& c)
{
    exchange& e = c.e_;
    const base::time_point now = base::boot_clock::now();
    e.upstream_ =
        c.t_.pool_.take(c.target_.address_, c.target_.host_.value_, now);
    if (e.upstream_ != nullptr)
        co_return true;
    e.upstream_ = std::make_shared<upstream_link>(c.t_.context_.get_executor());
    enter(e, wait_phase::connect);
    auto& socket = e.upstream_->socket_;
    boost::system::error_code ignored;
    socket.open(asio::ip::tcp::v4(), ignored);
    base::detect_silence(socket, connection_bounds);
    const auto [failure] =
        co_await socket.async_connect(c.target_.address_, base::await_tuple);
    co_return !failure && e.stopped_ == stop_reason::none;
}


asio::awaitable<bool> send_request(try_context& c)
{
    exchange& e = c.e_;
    send_fields fields{c.target_.host_, {}, {}};
    fields.time_left_ = std::chrono::duration_cast<std::chrono::milliseconds>(
        e.due_ - base::boot_clock::now());
    if (c.state_.splitter_.last_id_)
        fields.last_event_id_ = std::to_string(*c.state_.splitter_.last_id_);
    else
        fields.last_event_id_ =
            std::string(e.request_[c.t_.config_.headers_.last_event_id_]);
    const std::string text = upstream_request(e, c.t_.config_.headers_, fields);
    enter(e, wait_phase::first_answer);
    const auto [failure, sent] = co_await asio::async_write(
        e.upstream_->socket_, asio::buffer(text), base::await_tuple);
    co_return !failure;
}


// Reads the head of the answer to the own request. Answers that name another
// request are read and dropped.
asio::awaitable<std::unique_ptr<answer_parser>> read_head(try_context& c)
{
    exchange& e = c.e_;
    const std::string& id_name = c.t_.config_.headers_.request_id_;
    for (int skipped = 0; skipped <= max_foreign_answers;) {
        auto parser = std::make_unique<answer_parser>();
        parser->header_limit(max_answer_header_bytes);
        parser->body_limit(max_plain_bytes);
        parser->eager(true);
        if (e.request_.method() == http::verb::head)
            parser->skip(true);
        const auto [failure, size] = co_await http::async_read_header(
            e.upstream_->socket_,
            e.upstream_->buffer_,
            *parser,
            base::await_tuple);
        if (failure)
            co_return nullptr;
        if (http::to_status_class(parser->get().result()) ==
            http::status_class::informational)
            continue;
        const auto id = parser->get()[id_name];
        if (id == e.id_)
            co_return parser;
        base::event_line("foreign_answer", base::severity::warning)
            .field("request", e.id_)
            .field("answer_to", std::string_view(id))
            .field("host", c.target_.host_);
        if (parser->need_eof())
            co_return nullptr;
        const auto [body_failure, body_size] = co_await http::async_read(
            e.upstream_->socket_,
            e.upstream_->buffer_,
            *parser,
            base::await_tuple);
        if (body_failure)
            co_return nullptr;
        ++skipped;
    }
    co_return nullptr;
}


std::chrono::milliseconds idle_time(const http_response& answer)
{
    for (const auto& p : http::param_list(
             std::string(";").append(answer[http::field::keep_alive]))) {
        if (p.first != "timeout")
            continue;
        int seconds = 0;
        std::from_chars(
            p.second.data(), p.second.data() + p.second.size(), seconds);
        return std::chrono::seconds(seconds) - idle_margin;
    }
    return default_idle - idle_margin;
}


void keep_link(try_context& c, const answer_parser& parser)
{
    exchange& e = c.e_;
    if (!parser.keep_alive() || parser.need_eof() ||
        e.upstream_->buffer_.size() > 0 || e.stopped_ != stop_reason::none)
        return;
    const auto idle = idle_time(parser.get());
    if (idle.count() <= 0)
        return;
    e.upstream_->usable_until_ = base::boot_clock::now() + idle;
    c.t_.pool_.give(
        c.target_.address_, c.target_.host_.value_, std::move(e.upstream_));
}


bool is_event_stream(const exchange& e, const http_response& answer)
{
    if (!catalog::is_stream(e.route_->kind_) ||
        answer.result() != http::status::ok)
        return false;
    return answer[http::field::content_type].starts_with("text/event-stream");
}


bool says_not_run(const try_context& c, const http_response& answer)
{
    return answer.count(c.t_.config_.headers_.not_run_) > 0 ||
           answer.result() == http::status::misdirected_request;
}


std::string address_text(const asio::ip::tcp::endpoint& address)
{
    return address.address().to_string() + ":" + std::to_string(address.port());
}


void note_rejection(try_context& c, const http_response& answer)
{
    const auto failed = answer[c.t_.config_.headers_.failed_host_];
    base::event_line("upstream_rejected")
        .field("request", c.e_.id_)
        .field("host", c.target_.host_)
        .field("status", answer.result_int())
        .field("failed_host", std::string_view(failed));
    // An upstream that is only full names itself.
    if (!failed.empty() && failed != address_text(c.target_.address_))
        report_unhealthy(
            c.t_,
            {c.target_.host_,
             unhealthy_reason::group_failed,
             std::string(failed)});
}


// Reads the rest of an answer that is not a stream.
asio::awaitable<try_end> read_plain(try_context& c, answer_parser& parser)
{
    exchange& e = c.e_;
    if (!parser.is_done()) {
        const auto [failure, size] = co_await http::async_read(
            e.upstream_->socket_,
            e.upstream_->buffer_,
            parser,
            base::await_tuple);
        if (failure)
            co_return try_end::lost;
    }
    note_progress(c);
    keep_link(c, parser);
    http_response answer = parser.release();
    if (says_not_run(c, answer)) {
        note_rejection(c, answer);
        co_return try_end::rejected;
    }
    const bool sealed = answer.count(c.t_.config_.headers_.seal_) > 0;
    const bool encoded = answer.count(http::field::content_encoding) > 0;
    const bool success = http::to_status_class(answer.result()) ==
                         http::status_class::successful;
    if (success && (!sealed || encoded))
        co_return try_end::lost;
    c.state_.plain_ = std::move(answer);
    co_return try_end::answered;
}


asio::awaitable<bool> write_caller(try_context& c, const std::string& text)
{
    const auto [failure, sent] = co_await asio::async_write(
        c.e_.caller_->socket_, asio::buffer(text), base::await_tuple);
    co_return !failure;
}


// Relays what has come of a stream. Returns false when the caller is gone.
asio::awaitable<bool>
relay_events(try_context& c, answer_parser& parser, bool last)
{
    relay_state& s = c.state_;
    std::string& body = parser.get().body();
    std::string events = take_events(s.splitter_, body);
    body.clear();
    if (last && !s.splitter_.gap_)
        events.append(std::exchange(s.splitter_.pending_, {}));
    const bool ends = last && !s.splitter_.gap_;
    if (events.empty() && !ends)
        co_return true;
    std::string text;
    if (!s.head_sent_) {
        text = stream_head(parser.get(), s.keep_open_);
        s.first_answer_ = base::boot_clock::now();
        s.head_sent_ = true;
    }
    if (!events.empty())
        text.append(stream_chunk(events));
    if (ends)
        text.append(last_chunk);
    const bool sent = co_await write_caller(c, text);
    enter(c.e_, wait_phase::next_event);
    co_return sent;
}


asio::awaitable<try_end> relay_stream(try_context& c, answer_parser& parser)
{
    exchange& e = c.e_;
    if (parser.get().count(c.t_.config_.headers_.seal_) == 0)
        co_return try_end::lost;
    // A stream may be longer than any answer that is held in memory.
    parser.body_limit(boost::none);
    for (;;) {
        const bool last = parser.is_done();
        if (!parser.get().body().empty())
            note_progress(c);
        if (!co_await relay_events(c, parser, last))
            co_return try_end::caller_gone;
        if (c.state_.splitter_.gap_)
            co_return try_end::lost;
        if (last)
            break;
        if (e.stopped_ != stop_reason::none)
            co_return try_end::lost;
        const auto [failure, size] = co_await http::async_read_some(
            e.upstream_->socket_,
            e.upstream_->buffer_,
            parser,
            base::await_tuple);
        if (failure == http::error::end_of_stream && parser.need_eof()) {
            boost::system::error_code ended;
            parser.put_eof(ended);
            if (!ended)
                continue;
        }
        if (failure)
            co_return try_end::lost;
    }
    keep_link(c, parser);
    co_return try_end::relayed;
}


asio::awaitable<try_end> exchange_once(try_context& c)
{
    exchange& e = c.e_;
    if (!co_await connect(c))
        co_return try_end::not_sent;
    ++e.runs_;
    ++e.arrivals_;
    if (!co_await send_request(c))
        co_return try_end::lost;
    const auto parser = co_await read_head(c);
    if (parser == nullptr)
        co_return try_end::lost;
    if (is_event_stream(e, parser->get()))
        co_return co_await relay_stream(c, *parser);
    const try_end end = co_await read_plain(c, *parser);
    if (end == try_end::rejected)
        --e.runs_;
    co_return end;
}

} // namespace

asio::awaitable<try_end>
try_upstream(proxy_thread& t, exchange& e, relay_state& state, upstream target)
{
    try_context c{t, e, state, std::move(target)};
    e.host_ = c.target_.host_;
    e.stopped_ =
        e.caller_->left_ ? stop_reason::caller_left : stop_reason::none;
    if (e.stopped_ != stop_reason::none)
        co_return try_end::caller_gone;
    e.tried_.insert(e.host_);
    ++e.sends_;
    restart(state.splitter_);
    ++t.board_.of(e.host_).in_flight_;
    const try_end end = co_await exchange_once(c);
    --t.board_.of(e.host_).in_flight_;
    e.phase_ = wait_phase::none;
    if (e.upstream_ != nullptr) {
        boost::system::error_code ignored;
        e.upstream_->socket_.close(ignored);
        e.upstream_.reset();
    }
    if (e.stopped_ == stop_reason::caller_left || e.caller_->left_)
        co_return try_end::caller_gone;
    co_return end;
}


const char* to_string(try_end end) noexcept
{
    switch (end) {
    case try_end::not_sent:
        return "not_sent";
    case try_end::rejected:
        return "rejected";
    case try_end::answered:
        return "answered";
    case try_end::relayed:
        return "relayed";
    case try_end::lost:
        return "lost";
    case try_end::caller_gone:
        return "caller_gone";
    }
    return "unknown";
}

} // namespace monsoondock::relay::pvt
