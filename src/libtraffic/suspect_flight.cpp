#include "suspect_flight.hpp"

#include <monsoondock/base/await_tuple.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>

namespace monsoondock::traffic::pvt {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr unsigned HTTP_VERSION_1_1 = 11;
constexpr std::uint64_t PROOF_TOKENS = 16;


quarantine::group_instance instance_of(const group_row& group)
{
    return {group.group_, group.generation_};
}


bool serves_generation(std::string_view text, const group_row& group)
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


// Returns true when the head still serves the group in its generation.
asio::awaitable<bool>
stands(const group_row& group, std::chrono::milliseconds bound)
{
    const auto upstream = co_await connect_upstream(group.head_, bound);
    if (upstream == nullptr)
        co_return false;
    http::request<http::empty_body> request(
        http::verb::get, "/v1/status", HTTP_VERSION_1_1);
    request.set(http::field::host, "engine");
    upstream->stream_.expires_after(bound);
    const auto [write_failure, sent] = co_await http::async_write(
        upstream->stream_, request, base::await_tuple);
    if (write_failure)
        co_return false;
    http::response<http::string_body> answer;
    const auto [read_failure, used] = co_await http::async_read(
        upstream->stream_, upstream->buffer_, answer, base::await_tuple);
    if (read_failure || answer.result() != http::status::ok)
        co_return false;
    co_return serves_generation(answer.body(), group);
}

} // namespace

suspect_flight::suspect_flight(
    shared_suspect_registry& board, base::request_id request)
    : board_(board), request_(std::move(request))
{}


suspect_flight::~suspect_flight()
{
    if (open_)
        board_.abandoned(request_);
}


// The answer may come on another thread, after this coroutine is gone.
asio::awaitable<dispatch_answer>
suspect_flight::ask(quarantine::dispatch_question question)
{
    struct waiting
    {
        asio::steady_timer timer_;
        std::optional<dispatch_answer> answer_;
    };
    const auto executor = co_await asio::this_coro::executor;
    const auto state = std::make_shared<waiting>(
        waiting{asio::steady_timer(executor), std::nullopt});
    state->timer_.expires_at(asio::steady_timer::time_point::max());
    open_ = true;
    board_.ask(question, [executor, state](const dispatch_answer& answer) {
        asio::post(executor, [state, answer] {
            state->answer_ = answer;
            state->timer_.cancel();
        });
    });
    while (!state->answer_)
        co_await state->timer_.async_wait(base::await_tuple);
    open_ =
        std::holds_alternative<quarantine::permit_dispatch>(*state->answer_);
    co_return *state->answer_;
}


void suspect_flight::dispatched(const group_row& group)
{
    board_.dispatched(request_, instance_of(group));
}


void suspect_flight::generated(std::uint64_t tokens)
{
    const bool before = tokens_ >= PROOF_TOKENS;
    tokens_ += tokens;
    if (!before && tokens_ >= PROOF_TOKENS)
        board_.proved(request_);
}


void suspect_flight::completed()
{
    open_ = false;
    board_.completed(request_);
}


asio::awaitable<void>
suspect_flight::broken(const group_row& group, std::chrono::milliseconds bound)
{
    const bool alive = co_await stands(group, bound);
    if (alive)
        co_return;
    open_ = false;
    board_.group_lost(group.deployment_, instance_of(group));
}

} // namespace monsoondock::traffic::pvt
