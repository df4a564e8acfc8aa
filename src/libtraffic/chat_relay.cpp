#include "chat_relay.hpp"

#include "caller_writer.hpp"
#include "chat_attempt.hpp"
#include "disconnect_watch.hpp"
#include "dispatch_leave.hpp"
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


bool is_whole(const reply& r)
{
    return std::holds_alternative<streamed>(r) ||
           std::holds_alternative<buffered_response>(r);
}


// A caller that already has part of the stream is told by an error event, and
// the missing last chunk marks the answer as incomplete.
asio::awaitable<reply> give_up(
    traffic_thread& thread,
    caller_connection& caller,
    const request_context& context,
    const chat_progress& progress)
{
    const bool late =
        context.deadline_ && base::boot_clock::now() >= *context.deadline_;
    if (!progress.head_sent_) {
        if (late)
            co_return deadline_passed(progress.run_);
        co_return no_upstream(
            progress.run_, "no whole group of the model can take the request");
    }
    co_await write_chunk(
        caller,
        "data: {\"error\":{\"type\":\"broken_stream\",\"message\":\"the answer "
        "is incomplete\"}}\n\n",
        thread.parts_.limits_);
    co_return broken_stream{"no group could resume the stream"};
}


// The dispatch needs a name of its own: callers may repeat request ids.
base::request_id
name_dispatch(traffic_thread& thread, const request_context& context)
{
    std::string name = context.id_.value_;
    name.append("/").append(std::to_string(thread.random_()));
    return {std::move(name)};
}


bool serves_model(const traffic_thread& thread, const chat_progress& progress)
{
    const auto snapshot = thread.parts_.snapshots_.get();
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
    auto& metrics = thread.parts_.metrics_;
    if (context.report_.attempts_ > 0)
        metrics.add(metrics::counter::retries, context.label_);
    if (progress.head_sent_)
        metrics.add(metrics::counter::resumed_streams, context.label_);
}


// Sends the request to one group of those that it may use. Nothing when there
// is none.
asio::awaitable<std::optional<attempt_result>> try_group(
    traffic_thread& thread,
    caller_connection& caller,
    request_context& context,
    chat_progress& progress,
    group_question& question,
    suspect_flight* flight)
{
    context.snapshot_ = thread.parts_.snapshots_.get();
    const auto snapshot = context.snapshot_;
    const group_row* group = choose_group(
        thread.router_, *snapshot, question, base::boot_clock::now());
    if (group == nullptr)
        co_return std::nullopt;
    question.tried_.push_back(group->group_);
    count_attempt(thread, context, progress);
    if (flight != nullptr)
        flight->dispatched(*group);
    progress.flight_ = flight;
    auto result =
        co_await attempt_chat(thread, caller, context, progress, *group);
    progress.flight_ = nullptr;
    if (flight == nullptr)
        co_return result;
    const auto* finished = std::get_if<reply>(&result);
    if (std::holds_alternative<attempt_broken>(result))
        co_await flight->broken(*group, thread.parts_.limits_.connect_timeout_);
    else if (finished != nullptr && is_whole(*finished))
        flight->completed();
    co_return result;
}


// One attempt with the quarantine's leave. Nothing when no group can be tried.
asio::awaitable<std::optional<attempt_result>> attempt_with_leave(
    traffic_thread& thread,
    caller_connection& caller,
    request_context& context,
    chat_progress& progress,
    group_question& question)
{
    if (!serves_model(thread, progress))
        co_return std::nullopt;
    auto* board = thread.parts_.suspects_;
    if (board == nullptr)
        co_return co_await try_group(
            thread, caller, context, progress, question, nullptr);
    suspect_flight flight(*board, name_dispatch(thread, context));
    auto permitted = co_await get_leave(thread, context, progress, flight);
    if (auto* refused = std::get_if<refusal>(&permitted)) {
        if (progress.head_sent_)
            co_return std::nullopt;
        co_return reply(std::move(*refused));
    }
    question.allowed_ = std::get<leave>(std::move(permitted));
    co_return co_await try_group(
        thread, caller, context, progress, question, &flight);
}


asio::awaitable<void> run_attempts(
    traffic_thread& thread,
    caller_connection& caller,
    request_context& context,
    chat_progress& progress,
    std::optional<reply>& answer)
{
    group_question question{
        progress.chat_.model_, progress.chat_.prefix_, {}, {}};
    while (context.report_.attempts_ < max_attempts) {
        if (context.report_.attempts_ > 0 && !thread.retries_.take())
            break;
        auto result = co_await attempt_with_leave(
            thread, caller, context, progress, question);
        if (!result)
            break;
        if (auto* finished = std::get_if<reply>(&*result)) {
            if (is_whole(*finished))
                thread.retries_.succeeded();
            answer = std::move(*finished);
            co_return;
        }
    }
    answer = co_await give_up(thread, caller, context, progress);
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
    // The operator flattens variants, so the reply comes back on the side.
    std::optional<reply> answer;
    co_await (
        run_attempts(thread, caller, context, progress, answer) ||
        wait_for_disconnect(caller));
    if (answer)
        co_return std::move(*answer);
    co_return caller_gone{};
}

} // namespace monsoondock::traffic::pvt
