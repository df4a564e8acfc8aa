#include "completion_handler.hpp"

#include "completion_json.hpp"
#include "order_handler.hpp"
#include "prompt.hpp"

#include <monsoondock/standin/answer_token.hpp>
#include <monsoondock/standin/event_stream.hpp>
#include <monsoondock/standin/no_throw.hpp>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <sstream>

namespace monsoondock::engine_standin {

namespace asio = boost::asio;
using boost::beast::http::status;
using standin::exchange;
using standin::reply;

namespace {

constexpr int longest_prefix_speedup = 4;
constexpr int shorter_prefix_speedup = 2;
constexpr int report_priority = 1;
constexpr int interactive_priority = 0;

using clock = std::chrono::steady_clock;


/// Registers a job with the host and its slot queue for the lifetime of the
/// scope.
class job_scope
{
public:
    job_scope(engine_host& h, job& j) : host_(h), job_(j)
    {
        host_.jobs_.push_back(&job_);
        acquire_slot(host_.queue_, job_);
    }


    job_scope(const job_scope&) = delete;
    job_scope& operator=(const job_scope&) = delete;


    ~job_scope()
    {
        release_slot(host_.queue_, job_);
        host_.jobs_.remove(&job_);
        if (!job_.finished_)
            ++host_.counts_.cancelled_;
    }

private:
    engine_host& host_;
    job& job_;
};


/// State of one running request.
struct run_state
{
    engine_host& host_;
    exchange& exchange_;
    job& job_;
    const prompt& prompt_;
    /// When the most recent token was due.
    clock::time_point token_due_;
    /// Tokens generated so far, for a response without streaming.
    std::string text_;
};


std::string request_id(engine_host& h, const exchange& e)
{
    std::string id = standin::header(e, "X-Request-Id");
    if (!id.empty())
        return id;
    return h.id_ + "-" + std::to_string(h.counts_.started_);
}


int priority(const exchange& e)
{
    const bool report = standin::header(e, "X-Priority") == "report";
    return report ? report_priority : interactive_priority;
}


bool is_stale(const engine_host& h, const exchange& e)
{
    if (h.faults_.ignore_generation_)
        return false;
    const auto current = h.replica_.generation_;
    const std::string requested = standin::header(e, "X-Generation");
    return standin::number_or(requested, current) < current;
}


bool targets_other_group(const engine_host& h, const exchange& e)
{
    if (h.faults_.ignore_generation_)
        return false;
    const std::string group = standin::header(e, "X-Group");
    const std::string requested = standin::header(e, "X-Generation");
    const auto current = h.replica_.generation_;
    return (!group.empty() && group != h.replica_.group_) ||
           standin::number_or(requested, current) != current;
}


bool can_serve(const engine_host& h, const exchange& e)
{
    return is_ready(h.replica_) && h.replica_.rank_ == 0 &&
           !targets_other_group(h, e) && is_group_ready(h);
}


asio::awaitable<void> wait_for_slot(job& j)
{
    while (!j.granted_ && !j.cancelled_) {
        j.wake_timer_.expires_at(asio::steady_timer::time_point::max());
        co_await j.wake_timer_.async_wait(standin::NO_THROW);
    }
}


/// Waits until one interval after the previous token was due, and until a
/// pause of the host has ended. Returns false when the job was cancelled.
asio::awaitable<bool>
wait_for_token(run_state& r, std::chrono::milliseconds interval)
{
    r.token_due_ = std::max(r.token_due_ + interval, r.host_.paused_until_);
    while (!r.job_.cancelled_ && clock::now() < r.token_due_) {
        r.job_.wake_timer_.expires_at(r.token_due_);
        co_await r.job_.wake_timer_.async_wait(standin::NO_THROW);
        r.token_due_ = std::max(r.token_due_, r.host_.paused_until_);
    }
    co_return !r.job_.cancelled_;
}


std::chrono::milliseconds first_token_time(engine_host& h, const prompt& p)
{
    int speedup = 1;
    for (std::size_t i = 0; i < p.prefixes_.size(); ++i) {
        const bool hit = h.prefixes_.touch(p.prefixes_[i]);
        const int factor =
            i == 0 ? longest_prefix_speedup : shorter_prefix_speedup;
        if (hit)
            speedup = std::max(speedup, factor);
    }
    if (speedup > 1)
        ++h.counts_.prefix_hits_;
    return h.faults_.first_token_time_ / speedup;
}


asio::awaitable<bool> send_token(run_state& r, std::size_t position)
{
    const std::string token = standin::answer_token(r.prompt_.text_, position);
    ++r.host_.counts_.tokens_;
    if (!r.prompt_.stream_) {
        r.text_ += token;
        co_return true;
    }
    const std::string event = make_token_chunk(r.job_.id_, token);
    co_return co_await standin::send_event(r.exchange_, event);
}


bool must_truncate(const run_state& r, std::size_t sent)
{
    const auto limit = r.host_.faults_.cut_after_;
    return limit > 0 && sent >= limit;
}


/// Generates all tokens. Returns false when the job was cancelled, the caller
/// disconnected or the response is to be truncated.
asio::awaitable<bool> send_tokens(run_state& r)
{
    auto interval = first_token_time(r.host_, r.prompt_);
    const std::size_t first = r.prompt_.resume_from_;
    for (std::size_t i = first; i < r.prompt_.max_tokens_; ++i) {
        const bool active = co_await wait_for_token(r, interval);
        if (!active || must_truncate(r, i - first))
            co_return false;
        const bool sent = co_await send_token(r, i);
        if (!sent)
            co_return false;
        interval = r.host_.faults_.token_time_;
    }
    co_return true;
}


asio::awaitable<bool> finish_stream(run_state& r)
{
    const std::string stop = make_stop_chunk(r.job_.id_);
    const bool stop_sent = co_await standin::send_event(r.exchange_, stop);
    if (!stop_sent)
        co_return false;
    const bool done_sent = co_await standin::send_event(r.exchange_, "[DONE]");
    if (!done_sent)
        co_return false;
    co_return co_await standin::end_events(r.exchange_);
}


asio::awaitable<bool> send_completion(run_state& r)
{
    std::string body = make_completion(
        r.job_.id_,
        r.host_.replica_.deployment_,
        r.text_,
        r.prompt_.max_tokens_);
    co_await reply(r.exchange_, status::ok, std::move(body));
    co_return true;
}


asio::awaitable<bool> stream_response(run_state& r)
{
    const bool header_sent = co_await standin::begin_events(r.exchange_);
    if (!header_sent)
        co_return false;
    const bool complete = co_await send_tokens(r);
    if (!complete)
        co_return false;
    co_return co_await finish_stream(r);
}


asio::awaitable<bool> buffer_response(run_state& r)
{
    const bool complete = co_await send_tokens(r);
    if (!complete)
        co_return false;
    co_return co_await send_completion(r);
}


bool triggers_crash(const engine_host& h, const prompt& p)
{
    const std::string& text = h.faults_.crash_on_;
    return !text.empty() && p.text_.find(text) != std::string::npos;
}


asio::awaitable<void> run(run_state& r)
{
    co_await wait_for_slot(r.job_);
    if (r.job_.cancelled_)
        co_return;
    ++r.host_.counts_.started_;
    if (triggers_crash(r.host_, r.prompt_)) {
        crash_host(r.host_);
        co_return;
    }
    r.token_due_ = clock::now();
    if (r.prompt_.stream_)
        r.job_.finished_ = co_await stream_response(r);
    else
        r.job_.finished_ = co_await buffer_response(r);
    if (r.job_.finished_)
        ++r.host_.counts_.finished_;
}


asio::awaitable<void> serve_prompt(engine_host& h, exchange& e, const prompt& p)
{
    using namespace asio::experimental::awaitable_operators;
    const auto executor = co_await asio::this_coro::executor;
    job j{asio::steady_timer(executor), request_id(h, e), priority(e)};
    const job_scope scope(h, j);
    run_state r{h, e, j, p, {}, {}};
    co_await (run(r) || standin::wait_for_disconnect(e));
    if (!j.finished_)
        standin::drop(e);
}

} // namespace

asio::awaitable<void> handle_completion(engine_host& h, exchange& e)
{
    e.response_fields_.clear();
    if (h.faults_.limit_ > 0) {
        std::ostringstream limit;
        limit << h.faults_.limit_;
        e.response_fields_.set("X-Request-Limit", limit.str());
    }
    const auto p = parse_prompt(e);
    if (!p) {
        co_await reply(
            e, status::bad_request, std::string("{\"error\":\"malformed\"}"));
    } else if (is_stale(h, e)) {
        co_await reject_stale_generation(h, e);
    } else if (!can_serve(h, e)) {
        ++h.counts_.refused_;
        co_await reply(
            e,
            status::service_unavailable,
            std::string("{\"error\":\"not_ready\"}"));
    } else {
        co_await serve_prompt(h, e, *p);
    }
}

} // namespace monsoondock::engine_standin
