#include "chat_relay.hpp"

#include "caller_writer.hpp"
#include "chat_attempt.hpp"
#include "disconnect_watch.hpp"
#include "dispatch_permission.hpp"
#include "group_choice.hpp"
#include "refusals.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <algorithm>
#include <optional>

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


// Sends the request to one eligible group. Returns nullopt when there is none.
asio::awaitable<std::optional<attempt_result>> try_group(
    traffic_thread& thread,
    caller_connection& caller,
    request_context& context,
    chat_progress& progress,
    group_query& query,
    tracked_dispatch* dispatch)
{
    context.snapshot_ = thread.options_.snapshots_.get();
    const auto snapshot = context.snapshot_;
    const group_row* group =
        choose_group(thread.router_, *snapshot, query, base::boot_clock::now());
    if (group == nullptr)
        co_return std::nullopt;
    query.tried_.push_back(group->group_);
    count_attempt(thread, context, progress);
    if (dispatch != nullptr)
        dispatch->dispatched(*group);
    progress.dispatch_ = dispatch;
    auto result =
        co_await attempt_chat(thread, caller, context, progress, *group);
    progress.dispatch_ = nullptr;
    if (dispatch == nullptr)
        co_return result;
    const auto* finished = std::get_if<reply>(&result);
    if (std::holds_alternative<attempt_failed>(result))
        co_await dispatch->exchange_failed(
            *group, thread.options_.limits_.connect_timeout_);
    else if (finished != nullptr && is_complete(*finished))
        dispatch->completed();
    co_return result;
}


// Makes one attempt if the quarantine permits it. Returns nullopt when no group
// can be tried.
asio::awaitable<std::optional<attempt_result>> attempt_with_permission(
    traffic_thread& thread,
    caller_connection& caller,
    request_context& context,
    chat_progress& progress,
    group_query& query)
{
    if (!has_group_for_model(thread, progress))
        co_return std::nullopt;
    auto* registry = thread.options_.suspects_;
    if (registry == nullptr)
        co_return co_await try_group(
            thread, caller, context, progress, query, nullptr);
    tracked_dispatch dispatch(*registry, make_dispatch_id(thread, context));
    auto permission =
        co_await request_permission(thread, context, progress, dispatch);
    if (auto* refused = std::get_if<refusal>(&permission)) {
        if (progress.head_sent_)
            co_return std::nullopt;
        co_return reply(std::move(*refused));
    }
    query.allowed_ = std::get<permitted_groups>(std::move(permission));
    co_return co_await try_group(
        thread, caller, context, progress, query, &dispatch);
}


asio::awaitable<void> run_attempts(
    traffic_thread& thread,
    caller_connection& caller,
    request_context& context,
    chat_progress& progress,
    std::optional<reply>& answer)
{
    group_query query{progress.chat_.model_, progress.chat_.prefix_, {}, {}};
    while (context.report_.attempts_ < max_attempts) {
        if (context.report_.attempts_ > 0 && !thread.retries_.take())
            break;
        auto result = co_await attempt_with_permission(
            thread, caller, context, progress, query);
        if (!result)
            break;
        if (auto* finished = std::get_if<reply>(&*result)) {
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
