#include <monsoondock/standin/event_stream.hpp>
#include <monsoondock/standin/no_throw.hpp>

#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

namespace monsoondock::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {} // namespace

asio::awaitable<bool> begin_events(exchange& e)
{
    http::response<http::empty_body> head(
        http::status::ok, e.request_.version());
    head.set(http::field::content_type, "text/event-stream");
    head.set(http::field::cache_control, "no-cache");
    for (const auto& field : e.response_fields_)
        head.set(field.name_string(), field.value());
    head.keep_alive(e.request_.keep_alive());
    head.chunked(true);
    http::response_serializer<http::empty_body> serializer(head);
    const auto [error, count] =
        co_await http::async_write_header(e.socket_, serializer, NO_THROW);
    e.keep_alive_ = !error && head.keep_alive();
    co_return !error;
}


asio::awaitable<bool> send_event(exchange& e, std::string_view text)
{
    std::string event = "data: ";
    event.append(text).append("\n\n");
    const auto chunk = http::make_chunk(asio::buffer(event));
    const auto [error, count] =
        co_await asio::async_write(e.socket_, chunk, NO_THROW);
    co_return !error;
}


asio::awaitable<bool> end_events(exchange& e)
{
    const auto last = http::make_chunk_last();
    const auto [error, count] =
        co_await asio::async_write(e.socket_, last, NO_THROW);
    co_return !error;
}

} // namespace monsoondock::standin
