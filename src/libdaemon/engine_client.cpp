#include "engine_client.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <sstream>

namespace monsoondock::daemon {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto await_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t MAX_ANSWER_BYTES = 65536;
constexpr unsigned HTTP_VERSION_1_1 = 11;

using http_request = http::request<http::string_body>;


base::problem unavailable(const std::string& reason)
{
    return {base::problem_code::unavailable, "engine: " + reason, {}};
}


http_request make_request(
    http::verb method,
    const char* target,
    const asio::ip::tcp::endpoint& engine)
{
    http_request request(method, target, HTTP_VERSION_1_1);
    std::ostringstream host;
    host << engine;
    request.set(http::field::host, host.str());
    return request;
}

} // namespace

struct engine_client::connection
{
    explicit connection(asio::io_context& context) : stream_(context) {}

    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
};

namespace {

template <class Connection>
asio::awaitable<boost::system::error_code> connect(
    Connection& c,
    asio::ip::tcp::endpoint engine,
    std::chrono::milliseconds timeout)
{
    c.stream_.expires_after(timeout);
    const auto [failure] =
        co_await c.stream_.async_connect(engine, await_tuple);
    co_return failure;
}


template <class Connection>
asio::awaitable<base::result<http::response<http::string_body>>>
exchange(Connection& c, http_request request)
{
    request.prepare_payload();
    const auto [unsent, sent] =
        co_await http::async_write(c.stream_, request, await_tuple);
    if (unsent)
        co_return unavailable(unsent.message());
    http::response_parser<http::string_body> parser;
    parser.body_limit(MAX_ANSWER_BYTES);
    const auto [lost, received] =
        co_await http::async_read(c.stream_, c.buffer_, parser, await_tuple);
    if (lost)
        co_return unavailable(lost.message());
    co_return parser.release();
}

} // namespace

engine_client::engine_client(asio::io_context& context) : context_(context) {}


engine_client::~engine_client() = default;


asio::awaitable<base::result<std::string>> engine_client::get_status(
    asio::ip::tcp::endpoint engine, std::chrono::milliseconds timeout)
{
    // Taken out while in use, so that a failed connection is not used again.
    auto kept = kept_.extract(engine);
    if (!kept.empty()) {
        auto answer =
            co_await get_status_on(std::move(kept.mapped()), engine, timeout);
        // The engine may have closed a kept connection in the meantime.
        if (base::ok(answer))
            co_return answer;
    }
    auto fresh = std::make_unique<connection>(context_);
    if (const auto failure = co_await connect(*fresh, engine, timeout))
        co_return unavailable(failure.message());
    co_return co_await get_status_on(std::move(fresh), engine, timeout);
}


asio::awaitable<base::result<std::string>> engine_client::get_status_on(
    std::unique_ptr<connection> c,
    asio::ip::tcp::endpoint engine,
    std::chrono::milliseconds timeout)
{
    c->stream_.expires_after(timeout);
    const auto answer = co_await exchange(
        *c, make_request(http::verb::get, "/v1/status", engine));
    if (!base::ok(answer))
        co_return base::error(answer);
    const auto& response = base::value(answer);
    if (response.result() != http::status::ok)
        co_return unavailable(
            "status " + std::to_string(response.result_int()));
    if (response.keep_alive())
        kept_[engine] = std::move(c);
    co_return response.body();
}


asio::awaitable<base::result<base::done>> engine_client::post_order(
    asio::ip::tcp::endpoint engine,
    std::string json,
    std::chrono::milliseconds timeout,
    std::function<bool()> may_send)
{
    connection c(context_);
    if (const auto failure = co_await connect(c, engine, timeout))
        co_return unavailable(failure.message());
    if (!may_send())
        co_return base::problem{
            base::problem_code::conflict, "the leader's lease ended", {}};
    c.stream_.expires_after(timeout);
    auto request = make_request(http::verb::post, "/v1/orders", engine);
    request.set(http::field::content_type, "application/json");
    request.body() = std::move(json);
    request.keep_alive(false);
    const auto answer = co_await exchange(c, std::move(request));
    if (!base::ok(answer))
        co_return base::error(answer);
    if (base::value(answer).result() != http::status::ok)
        co_return base::problem{
            base::problem_code::conflict, base::value(answer).body(), {}};
    co_return base::done{};
}

} // namespace monsoondock::daemon
