#include "engine_client.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/read_response_header.hpp>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <optional>
#include <sstream>

namespace monsoondock::daemon {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr base::response_limits max_response{
    .header_bytes_ = 8 * 1024, .body_bytes_ = std::uint64_t{64} * 1024};
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
        co_await c.stream_.async_connect(engine, base::await_tuple);
    co_return failure;
}


template <class Connection>
asio::awaitable<base::result<http::response<http::string_body>>>
exchange(Connection& c, http_request request)
{
    request.prepare_payload();
    const auto [write_error, bytes_written] =
        co_await http::async_write(c.stream_, request, base::await_tuple);
    if (write_error)
        co_return unavailable(write_error.message());
    std::optional<base::bounded_response_parser<http::string_body>> parser;
    const boost::system::error_code read_error = co_await base::read_response(
        c.stream_, c.buffer_, parser, max_response);
    if (read_error)
        co_return unavailable(read_error.message());
    co_return parser->release();
}

} // namespace

engine_client::engine_client(asio::io_context& context) : context_(context) {}


engine_client::~engine_client() = default;


asio::awaitable<base::result<std::string>> engine_client::get_status(
    asio::ip::tcp::endpoint engine, std::chrono::milliseconds timeout)
{
    // Removed while in use, so that a failed connection is not reused.
    auto idle = idle_connections_.extract(engine);
    if (!idle.empty()) {
        auto outcome =
            co_await get_status_on(std::move(idle.mapped()), engine, timeout);
        // The engine may have closed an idle connection; retry on a new one.
        if (base::ok(outcome))
            co_return outcome;
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
    const auto outcome = co_await exchange(
        *c, make_request(http::verb::get, "/v1/status", engine));
    if (!base::ok(outcome))
        co_return base::error(outcome);
    const auto& response = base::value(outcome);
    if (response.result() != http::status::ok)
        co_return unavailable(
            "HTTP status " + std::to_string(response.result_int()));
    if (response.keep_alive())
        idle_connections_[engine] = std::move(c);
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
            base::problem_code::conflict,
            "order not sent: the leader's lease expired",
            {}};
    c.stream_.expires_after(timeout);
    auto request = make_request(http::verb::post, "/v1/orders", engine);
    request.set(http::field::content_type, "application/json");
    request.body() = std::move(json);
    request.keep_alive(false);
    const auto outcome = co_await exchange(c, std::move(request));
    if (!base::ok(outcome))
        co_return base::error(outcome);
    if (base::value(outcome).result() != http::status::ok)
        co_return base::problem{
            base::problem_code::conflict, base::value(outcome).body(), {}};
    co_return base::done{};
}

} // namespace monsoondock::daemon
