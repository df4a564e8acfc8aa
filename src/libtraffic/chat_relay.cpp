#include "chat_relay.hpp"

#include "caller_writer.hpp"
#include "chat_attempt.hpp"
#include "disconnect_watch.hpp"
#include "dispatch_permission.hpp"
#include "group_choice.hpp"
#include "refusals.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>
#include <variant>

namespace monsoondock::traffic::pvt {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::uint32_t max_attempts = 3;


bool is_known_model(
    const routing_snapshot& snapshot, const base::deployment_id& model)
{
    const auto& models = snapshot.models_;
    return std::find(models.begin(), models.end(), model) != models.end();
}


bool is_complete(const reply& r)
{
    return std::holds_alternative<streamed>(r) ||
           std::holds_alternative<buffered_response>(r);
}


// A caller that already has part of the stream gets an error event, and the
// missing last chunk marks the response as incomplete.
asio::awaitable<reply> fail_request(
    traffic_thread& thread,
    caller_connection& caller,
    const request_context& context,
    const chat_progress& progress)
{
    const bool expired =
        context.deadline_ && base::boot_clock::now() >= *context.deadline_;
    if (!progress.head_sent_) {
        if (expired)
            co_return deadline_passed(progress.run_);
        co_return no_upstream(
            progress.run_,
            "no available group of the model can take the request");
    }
    co_await write_chunk(
        caller,
        "data: {\"error\":{\"type\":\"broken_stream\",\"message\":\"the answer "
        "is incomplete\"}}\n\n",
        thread.options_.limits_);
    co_return broken_stream{"no group could resume the stream"};
}


// Dispatches need unique ids, because callers may repeat request ids.
base::request_id
make_dispatch_id(traffic_thread& thread, const request_context& context)
{
    std::string name = context.id_.value_;
    name.append("/").append(std::to_string(thread.random_()));
    return {std::move(name)};
}


bool has_group_for_model(
    const traffic_thread& thread, const chat_progress& progress)
{
    const auto snapshot = thread.options_.snapshots_.get();
    const auto& groups = snapshot->groups_;
    return std::any_of(
        groups.begin(), groups.end(), [&progress](const group_row& row) {
            return row.deployment_ == progress.chat_.model_;
        });
}


void count_attempt(
    traffic_thread& thread,
    const request_context& context,
    const chat_progress& progress)
{
    auto& metrics = thread.options_.metrics_;
    if (context.report_.attempts_ > 0)
        metrics.add(metrics::counter::retries, context.label_);
    if (progress.head_sent_)
        metrics.add(metrics::counter::resumed_streams, context.label_);
}


// All that an attempt needs.
struct attempt_grant
{
    /// Keeps group_ alive.
    std::shared_ptr<const routing_snapshot> snapshot_;
    const group_row* group_ = nullptr;
    /// The dispatch that the quarantine has permitted; null without one.
    std::unique_ptr<tracked_dispatch> dispatch_;
};


// No group can be tried.
struct no_group
{};

using grant_result = std::variant<attempt_grant, refusal, no_group>;


// State of the attempts of a completion.
struct attempt_series
{
    group_query query_;
    /// Granted while an attempt was silent; the next attempt uses it.
    std::optional<attempt_grant> replacement_;
    /// True when a retry was taken from the budget and not used yet.
    bool retry_taken_ = false;
};


// Chooses an eligible group of the current snapshot. Returns false when there
// is none.
bool choose_granted_group(
    traffic_thread& thread, const group_query& query, attempt_grant& grant)
{
    grant.snapshot_ = thread.options_.snapshots_.get();
    grant.group_ = choose_group(
        thread.router_, *grant.snapshot_, query, base::boot_clock::now());
    return grant.group_ != nullptr;
}


// Chooses a group that the quarantine permits.
asio::awaitable<grant_result> obtain_grant(
    traffic_thread& thread,
    const request_context& context,
    const chat_progress& progress,
    group_query& query)
{
    if (!has_group_for_model(thread, progress))
        co_return no_group{};
    attempt_grant grant;
    if (auto* registry = thread.options_.suspects_) {
        grant.dispatch_ = std::make_unique<tracked_dispatch>(
            *registry, make_dispatch_id(thread, context));
        auto permission = co_await request_permission(
            thread, context, progress, *grant.dispatch_);
        if (auto* refused = std::get_if<refusal>(&permission))
            co_return std::move(*refused);
        query.allowed_ = std::get<permitted_groups>(std::move(permission));
    }
    if (!choose_granted_group(thread, query, grant))
        co_return no_group{};
    co_return grant;
}


// Obtains a grant while an attempt goes on. The retry is taken last, so that
// none is used up in vain.
asio::awaitable<bool> obtain_replacement(
    traffic_thread& thread,
    const request_context& context,
    const chat_progress& progress,
    attempt_series& series)
{
    if (series.replacement_)
        co_return true;
    if (context.report_.attempts_ >= max_attempts)
        co_return false;
    group_query query = series.query_;
    query.allowed_.clear();
    attempt_grant candidate;
    if (!choose_granted_group(thread, query, candidate))
        co_return false;
    auto granted = co_await obtain_grant(thread, context, progress, query);
    auto* grant = std::get_if<attempt_grant>(&granted);
    if (grant == nullptr)
        co_return false;
    if (!series.retry_taken_ && !thread.retries_.take())
        co_return false;
    series.retry_taken_ = true;
    series.replacement_ = std::move(*grant);
    co_return true;
}


// Sends the request to the granted group.
asio::awaitable<attempt_result> run_attempt(
    traffic_thread& thread,
    caller_connection& caller,
    request_context& context,
    chat_progress& progress,
    attempt_series& series,
    attempt_grant grant)
{
    context.snapshot_ = grant.snapshot_;
    const group_row& group = *grant.group_;
    tracked_dispatch* dispatch = grant.dispatch_.get();
    series.query_.tried_.push_back(group.group_);
    count_attempt(thread, context, progress);
    if (dispatch != nullptr)
        dispatch->dispatched(group);
    progress.dispatch_ = dispatch;
    auto result =
        co_await attempt_chat(thread, caller, context, progress, group);
    progress.dispatch_ = nullptr;
    if (dispatch == nullptr)
        co_return result;
    const auto* finished = std::get_if<reply>(&result);
    if (std::holds_alternative<attempt_failed>(result)) {
        const bool alive = co_await dispatch->exchange_failed(
            group, thread.options_.limits_.connect_timeout_);
        // The request is a suspect now, which needs another permission.
        if (!alive)
            series.replacement_.reset();
    } else if (finished != nullptr && is_complete(*finished)) {
        dispatch->completed();
    }
    co_return result;
}


// Returns the grant of the next attempt: the replacement of the last one, or a
// new grant.
asio::awaitable<grant_result> next_grant(
    traffic_thread& thread,
    const request_context& context,
    const chat_progress& progress,
    attempt_series& series)
{
    if (context.report_.attempts_ >= max_attempts)
        co_return no_group{};
    const bool paid = context.report_.attempts_ == 0 ||
                      std::exchange(series.retry_taken_, false) ||
                      thread.retries_.take();
    if (!paid)
        co_return no_group{};
    if (auto replacement = std::exchange(series.replacement_, std::nullopt))
        co_return std::move(*replacement);
    co_return co_await obtain_grant(thread, context, progress, series.query_);
}


asio::awaitable<void> run_attempts(
    traffic_thread& thread,
    caller_connection& caller,
    request_context& context,
    chat_progress& progress,
    std::optional<reply>& answer)
{
    attempt_series series;
    series.query_ = {progress.chat_.model_, progress.chat_.prefix_, {}, {}};
    progress.obtain_replacement_ = [&] {
        return obtain_replacement(thread, context, progress, series);
    };
    for (;;) {
        auto granted = co_await next_grant(thread, context, progress, series);
        if (auto* refused = std::get_if<refusal>(&granted);
            refused != nullptr && !progress.head_sent_) {
            answer = std::move(*refused);
            co_return;
        }
        auto* grant = std::get_if<attempt_grant>(&granted);
        if (grant == nullptr)
            break;
        auto result = co_await run_attempt(
            thread, caller, context, progress, series, std::move(*grant));
        if (auto* finished = std::get_if<reply>(&result)) {
            if (is_complete(*finished))
                thread.retries_.succeeded();
            answer = std::move(*finished);
            co_return;
        }
    }
    answer = co_await fail_request(thread, caller, context, progress);
}

} // namespace

asio::awaitable<reply> serve_chat(
    traffic_thread& thread, caller_connection& caller, request_context& context)
{
    using namespace asio::experimental::awaitable_operators;

    const auto parsed = parse_chat_request(context.request_.body());
    if (!base::ok(parsed))
        co_return bad_request(
            http::status::bad_request,
            "invalid_body",
            base::error(parsed).message_);
    chat_progress progress;
    progress.chat_ = base::value(parsed);
    if (!is_known_model(*context.snapshot_, progress.chat_.model_))
        co_return bad_request(
            http::status::not_found,
            "unknown_model",
            "no deployment has the name `" + progress.chat_.model_.value_ +
                "`; GET /v1/models lists them");
    // operator|| flattens variants, so the reply is returned by reference.
    std::optional<reply> answer;
    co_await (
        run_attempts(thread, caller, context, progress, answer) ||
        wait_for_disconnect(caller));
    if (answer)
        co_return std::move(*answer);
    co_return caller_disconnected{};
}

} // namespace monsoondock::traffic::pvt
