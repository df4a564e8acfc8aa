#include "tracked_dispatch.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/read_response_header.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>

namespace monsoondock::traffic::pvt {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr unsigned http_version_1_1 = 11;
constexpr std::uint64_t clearing_tokens = 16;
constexpr std::uint64_t max_status_bytes = std::uint64_t{64} * 1024;


quarantine::group_instance instance_of(const group_row& group)
{
    return {group.group_, group.generation_};
}


bool status_matches_group(std::string_view text, const group_row& group)
{
    boost::system::error_code failure;
    const json::value status = json::parse(text, failure);
    const json::object* fields = status.if_object();
    if (failure || fields == nullptr)
        return false;
    const json::value* phase = fields->if_contains("phase");
    const json::value* number = fields->if_contains("generation");
    if (phase == nullptr || !phase->is_string() || number == nullptr)
        return false;
    if (phase->get_string() != "ready")
        return false;
    const auto generation = number->to_number<std::uint64_t>(failure);
    return !failure && generation == group.generation_.value_;
}


// Returns true when the head host still serves this generation of the group.
asio::awaitable<bool>
probe_group(const group_row& group, std::chrono::milliseconds bound)
{
    const auto upstream = co_await connect_upstream(group.head_, bound);
    if (upstream == nullptr)
        co_return false;
    http::request<http::empty_body> request(
        http::verb::get, "/v1/status", http_version_1_1);
    request.set(http::field::host, "engine");
    upstream->stream_.expires_after(bound);
    const auto [write_failure, sent] = co_await http::async_write(
        upstream->stream_, request, base::await_tuple);
    if (write_failure)
        co_return false;
    std::optional<base::bounded_response_parser<http::string_body>> parser;
    const boost::system::error_code read_failure = co_await base::read_response(
        upstream->stream_,
        upstream->buffer_,
        parser,
        {max_response_header_bytes, max_status_bytes});
    if (read_failure || parser->get().result() != http::status::ok)
        co_return false;
    co_return status_matches_group(parser->get().body(), group);
}

} // namespace

tracked_dispatch::tracked_dispatch(
    shared_suspect_registry& registry, base::request_id request)
    : registry_(registry), request_(std::move(request))
{}


tracked_dispatch::~tracked_dispatch()
{
    if (outstanding_)
        registry_.abandoned(request_);
}


// The decision may arrive on another thread after this coroutine was destroyed,
// so the state is shared.
asio::awaitable<dispatch_decision>
tracked_dispatch::ask(quarantine::dispatch_query question)
{
    struct pending_answer
    {
        asio::steady_timer timer_;
        std::optional<dispatch_decision> answer_;
    };
    const auto executor = co_await asio::this_coro::executor;
    const auto state = std::make_shared<pending_answer>(
        pending_answer{asio::steady_timer(executor), std::nullopt});
    state->timer_.expires_at(asio::steady_timer::time_point::max());
    outstanding_ = true;
    registry_.ask(question, [executor, state](const dispatch_decision& answer) {
        asio::post(executor, [state, answer] {
            state->answer_ = answer;
            state->timer_.cancel();
        });
    });
    while (!state->answer_)
        co_await state->timer_.async_wait(base::await_tuple);
    outstanding_ =
        std::holds_alternative<quarantine::permit_dispatch>(*state->answer_);
    co_return *state->answer_;
}


void tracked_dispatch::dispatched(const group_row& group)
{
    registry_.dispatched(request_, instance_of(group));
}


void tracked_dispatch::add_tokens(std::uint64_t tokens)
{
    const bool was_cleared = tokens_ >= clearing_tokens;
    tokens_ += tokens;
    if (!was_cleared && tokens_ >= clearing_tokens)
        registry_.trial_passed(request_);
}


void tracked_dispatch::completed()
{
    outstanding_ = false;
    registry_.completed(request_);
}


asio::awaitable<bool> tracked_dispatch::exchange_failed(
    const group_row& group, std::chrono::milliseconds bound)
{
    const bool alive = co_await probe_group(group, bound);
    if (alive)
        co_return true;
    outstanding_ = false;
    registry_.group_lost(group.deployment_, instance_of(group));
    co_return false;
}

} // namespace monsoondock::traffic::pvt
