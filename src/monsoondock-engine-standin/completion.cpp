#include "completion.hpp"

#include "completion_json.hpp"
#include "orders.hpp"
#include "prompt.hpp"

#include <monsoondock/standin/answer_token.hpp>
#include <monsoondock/standin/event_stream.hpp>
#include <monsoondock/standin/no_throw.hpp>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>

namespace monsoondock::engine_standin {

namespace asio = boost::asio;
using boost::beast::http::status;
using standin::exchange;
using standin::reply;

namespace {

constexpr int LONGEST_PREFIX_SPEEDUP = 4;
constexpr int SHORTER_PREFIX_SPEEDUP = 2;
constexpr int REPORT_PRIORITY = 1;
constexpr int INTERACTIVE_PRIORITY = 0;

using clock = std::chrono::steady_clock;


/// Holds a job's place in the queue and in the list of jobs.
class job_scope
{
public:
    job_scope(engine_host& h, job& j) : host_(h), job_(j)
    {
        host_.jobs_.push_back(&job_);
        enter(host_.queue_, job_);
    }


    job_scope(const job_scope&) = delete;
    job_scope& operator=(const job_scope&) = delete;


    ~job_scope()
    {
        leave(host_.queue_, job_);
        host_.jobs_.remove(&job_);
        if (!job_.finished_)
            ++host_.counts_.cancelled_;
    }

private:
    engine_host& host_;
    job& job_;
};


/// One request while it runs.
struct run_state
{
    engine_host& host_;
    exchange& exchange_;
    job& job_;
    const prompt& prompt_;
    /// When the last token was due.
    clock::time_point due_;
    /// Tokens made so far, for an answer that is not streamed.
    std::string text_;
};


std::string request_id(engine_host& h, const exchange& e)
{
    std::string given = standin::header(e, "X-Request-Id");
    if (!given.empty())
        return given;
    return h.id_ + "-" + std::to_string(h.counts_.started_);
}


int priority(const exchange& e)
{
    const bool report = standin::header(e, "X-Priority") == "report";
    return report ? REPORT_PRIORITY : INTERACTIVE_PRIORITY;
}


bool is_stale(const engine_host& h, const exchange& e)
{
    if (h.faults_.ignore_generation_)
        return false;
    const auto own = h.replica_.generation_;
    const std::string given = standin::header(e, "X-Generation");
    return standin::number_or(given, own) < own;
}


bool names_other_group(const engine_host& h, const exchange& e)
{
    if (h.faults_.ignore_generation_)
        return false;
    const std::string group = standin::header(e, "X-Group");
    const std::string given = standin::header(e, "X-Generation");
    const auto own = h.replica_.generation_;
    return (!group.empty() && group != h.replica_.group_) ||
           standin::number_or(given, own) != own;
}


bool can_serve(const engine_host& h, const exchange& e)
{
    return is_ready(h.replica_) && h.replica_.rank_ == 0 &&
           !names_other_group(h, e) && is_whole(h);
}


asio::awaitable<void> wait_for_slot(job& j)
{
    while (!j.granted_ && !j.cancelled_) {
        j.wake_.expires_at(asio::steady_timer::time_point::max());
        co_await j.wake_.async_wait(standin::NO_THROW);
    }
}


/// Waits until length after the previous token, longer while the host is
/// paused. Returns false when the job was cancelled.
asio::awaitable<bool>
wait_for_token(run_state& r, std::chrono::milliseconds length)
{
    r.due_ = std::max(r.due_ + length, r.host_.paused_until_);
    while (!r.job_.cancelled_ && clock::now() < r.due_) {
        r.job_.wake_.expires_at(r.due_);
        co_await r.job_.wake_.async_wait(standin::NO_THROW);
        r.due_ = std::max(r.due_, r.host_.paused_until_);
    }
    co_return !r.job_.cancelled_;
}


std::chrono::milliseconds first_token_time(engine_host& h, const prompt& p)
{
    int speedup = 1;
    for (std::size_t i = 0; i < p.prefixes_.size(); ++i) {
        const bool known = h.prefixes_.use(p.prefixes_[i]);
        const int gain =
            i == 0 ? LONGEST_PREFIX_SPEEDUP : SHORTER_PREFIX_SPEEDUP;
        if (known)
            speedup = std::max(speedup, gain);
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
    const std::string event = token_chunk(r.job_.id_, token);
    co_return co_await standin::send_event(r.exchange_, event);
}


bool is_cut(const run_state& r, std::size_t sent)
{
    const auto limit = r.host_.faults_.cut_after_;
    return limit > 0 && sent >= limit;
}


/// Makes every token; returns false when the answer must end here.
asio::awaitable<bool> send_tokens(run_state& r)
{
    auto length = first_token_time(r.host_, r.prompt_);
    const std::size_t first = r.prompt_.resume_from_;
    for (std::size_t i = first; i < r.prompt_.max_tokens_; ++i) {
        const bool due = co_await wait_for_token(r, length);
        if (!due || is_cut(r, i - first))
            co_return false;
        const bool sent = co_await send_token(r, i);
        if (!sent)
            co_return false;
        length = r.host_.faults_.token_time_;
    }
    co_return true;
}


asio::awaitable<bool> finish_stream(run_state& r)
{
    const std::string stop = stop_chunk(r.job_.id_);
    const bool stopped = co_await standin::send_event(r.exchange_, stop);
    if (!stopped)
        co_return false;
    const bool done = co_await standin::send_event(r.exchange_, "[DONE]");
    if (!done)
        co_return false;
    co_return co_await standin::end_events(r.exchange_);
}


asio::awaitable<bool> finish_whole(run_state& r)
{
    std::string body = whole_completion(
        r.job_.id_,
        r.host_.replica_.deployment_,
        r.text_,
        r.prompt_.max_tokens_);
    co_await reply(r.exchange_, status::ok, std::move(body));
    co_return true;
}


asio::awaitable<bool> stream_answer(run_state& r)
{
    const bool begun = co_await standin::begin_events(r.exchange_);
    if (!begun)
        co_return false;
    const bool whole = co_await send_tokens(r);
    if (!whole)
        co_return false;
    co_return co_await finish_stream(r);
}


asio::awaitable<bool> collect_answer(run_state& r)
{
    const bool whole = co_await send_tokens(r);
    if (!whole)
        co_return false;
    co_return co_await finish_whole(r);
}


bool crashes(const engine_host& h, const prompt& p)
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
    if (crashes(r.host_, r.prompt_)) {
        kill(r.host_);
        co_return;
    }
    r.due_ = clock::now();
    if (r.prompt_.stream_)
        r.job_.finished_ = co_await stream_answer(r);
    else
        r.job_.finished_ = co_await collect_answer(r);
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

asio::awaitable<void> answer_completion(engine_host& h, exchange& e)
{
    const auto p = parse_prompt(e);
    if (!p) {
        co_await reply(
            e, status::bad_request, std::string("{\"error\":\"malformed\"}"));
    } else if (is_stale(h, e)) {
        co_await refuse_stale_generation(h, e);
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
