#include "percent_decode.hpp"

#include <monsoondock/base/query_parameter.hpp>
#include <monsoondock/standin/exchange.hpp>
#include <monsoondock/standin/no_throw.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <sstream>

namespace monsoondock::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

using response = http::response<http::string_body>;


std::string_view target(const exchange& e)
{
    const auto text = e.request_.target();
    return {text.data(), text.size()};
}


response make_response(const exchange& e, http::status status)
{
    response r(status, e.request_.version());
    r.set(http::field::content_type, "application/json");
    for (const auto& field : e.response_fields_)
        r.set(field.name_string(), field.value());
    r.keep_alive(e.request_.keep_alive());
    return r;
}


// A socket that is readable but has no data available was closed by the peer.
bool peer_closed(asio::ip::tcp::socket& socket)
{
    boost::system::error_code error;
    const std::size_t count = socket.available(error);
    return error || count == 0;
}

} // namespace

std::string header(const exchange& e, std::string_view name)
{
    const auto value = e.request_[{name.data(), name.size()}];
    return {value.data(), value.size()};
}


std::string path(const exchange& e)
{
    const std::string_view text = target(e);
    return pvt::percent_decode(text.substr(0, text.find('?')));
}


std::string parameter(const exchange& e, std::string_view name)
{
    return pvt::percent_decode(base::query_parameter(target(e), name));
}


std::uint64_t number_or(std::string_view text, std::uint64_t fallback)
{
    std::uint64_t value = 0;
    const char* last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, value);
    const bool complete = error == std::errc{} && end == last;
    return complete ? value : fallback;
}


asio::awaitable<void> reply(exchange& e, http::status status, std::string json)
{
    response r = make_response(e, status);
    r.body() = std::move(json);
    r.prepare_payload();
    const auto [error, count] =
        co_await http::async_write(e.socket_, r, NO_THROW);
    e.keep_alive_ = e.keep_alive_ && !error && r.keep_alive();
}


asio::awaitable<void>
reply(exchange& e, http::status status, const boost::json::value& body)
{
    co_await reply(e, status, boost::json::serialize(body));
}


asio::awaitable<void>
reply_truncated(exchange& e, const std::string& json, std::size_t bytes)
{
    response r = make_response(e, http::status::ok);
    r.content_length(json.size());
    std::ostringstream text;
    text << r.base() << json.substr(0, bytes);
    const std::string sent = text.str();
    co_await asio::async_write(e.socket_, asio::buffer(sent), NO_THROW);
    drop(e);
}


asio::awaitable<void> reply_raw(exchange& e, std::string text)
{
    const auto [error, count] =
        co_await asio::async_write(e.socket_, asio::buffer(text), NO_THROW);
    e.keep_alive_ = e.keep_alive_ && !error;
}


void drop(exchange& e)
{
    boost::system::error_code ignored;
    e.keep_alive_ = false;
    e.socket_.close(ignored);
}


asio::awaitable<void> wait_for_disconnect(exchange& e)
{
    const auto [error] = co_await e.socket_.async_wait(
        asio::ip::tcp::socket::wait_read, NO_THROW);
    if (error || peer_closed(e.socket_))
        co_return;
    // The next request is already in the receive buffer, so a disconnect cannot
    // be detected: wait until cancelled.
    asio::steady_timer never(co_await asio::this_coro::executor);
    never.expires_at(asio::steady_timer::time_point::max());
    co_await never.async_wait(NO_THROW);
}

} // namespace monsoondock::standin
