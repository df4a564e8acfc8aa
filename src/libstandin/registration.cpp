#include <monsoondock/standin/no_throw.hpp>
#include <monsoondock/standin/registration.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <optional>

namespace monsoondock::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace std::chrono_literals;

namespace {

constexpr auto RETRY_DELAY = 100ms;
constexpr auto CALL_TIMEOUT = 2s;

using request = http::request<http::string_body>;
using response = http::response<http::string_body>;


// Sends q on a new connection; returns std::nullopt when no response arrives.
asio::awaitable<std::optional<response>>
call(asio::ip::tcp::endpoint platform, request& q)
{
    boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(CALL_TIMEOUT);
    const auto [connect_error] =
        co_await stream.async_connect(platform, NO_THROW);
    if (connect_error)
        co_return std::nullopt;
    q.prepare_payload();
    const auto [write_error, sent] =
        co_await http::async_write(stream, q, NO_THROW);
    if (write_error)
        co_return std::nullopt;
    boost::beast::flat_buffer buffer;
    response r;
    const auto [read_error, received] =
        co_await http::async_read(stream, buffer, r, NO_THROW);
    if (read_error)
        co_return std::nullopt;
    co_return r;
}


// Returns the version of the object at target; std::nullopt when there is none
// or the store does not respond.
asio::awaitable<std::optional<std::uint64_t>>
read_version(asio::ip::tcp::endpoint platform, std::string target)
{
    request q(http::verb::get, target, 11);
    const auto r = co_await call(platform, q);
    if (!r || r->result() != http::status::ok)
        co_return std::nullopt;
    const auto body = boost::json::parse(r->body());
    co_return body.at("version").to_number<std::uint64_t>();
}


asio::awaitable<bool> write_once(
    asio::ip::tcp::endpoint platform, std::string target, std::string value)
{
    const auto found = co_await read_version(platform, target);
    request q(http::verb::put, target, 11);
    if (found)
        q.set(http::field::if_match, '"' + std::to_string(*found) + '"');
    else
        q.set(http::field::if_none_match, "*");
    q.body() = value;
    const auto r = co_await call(platform, q);
    co_return r && r->result() == http::status::ok;
}

} // namespace

asio::awaitable<void> register_host(
    asio::ip::tcp::endpoint platform,
    std::string host,
    boost::json::object value)
{
    const std::string target = "/v1/objects/hosts/" + host;
    const std::string text = boost::json::serialize(value);
    asio::steady_timer retry(co_await asio::this_coro::executor);
    bool accepted = co_await write_once(platform, target, text);
    while (!accepted) {
        retry.expires_after(RETRY_DELAY);
        co_await retry.async_wait(NO_THROW);
        accepted = co_await write_once(platform, target, text);
    }
}

} // namespace monsoondock::standin
