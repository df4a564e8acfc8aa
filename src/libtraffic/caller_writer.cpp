#include "caller_writer.hpp"

#include <monsoondock/base/await_tuple.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

namespace monsoondock::traffic::pvt {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr unsigned http_version_1_1 = 11;

} // namespace

asio::awaitable<bool> write_stream_head(
    caller_connection& caller,
    const request_context& context,
    const limits& bounds)
{
    http::response<http::empty_body> head(http::status::ok, http_version_1_1);
    head.set(http::field::content_type, "text/event-stream");
    head.set(http::field::cache_control, "no-store");
    head.set("X-Request-Id", context.id_.value_);
    // A caller of HTTP/1.0 knows no chunks (RFC 9112, section 6.1).
    caller.ends_with_connection_ =
        context.request_.version() < http_version_1_1;
    head.chunked(!caller.ends_with_connection_);
    head.keep_alive(
        context.request_.keep_alive() && !caller.ends_with_connection_);
    if (caller.ends_with_connection_)
        reset_on_close(caller, true);
    http::response_serializer<http::empty_body> serializer(head);
    caller.response_begun_ = true;
    caller.stream_.expires_after(bounds.idle_timeout_);
    const auto [failure, sent] = co_await http::async_write_header(
        caller.stream_, serializer, base::await_tuple);
    co_return !failure;
}


asio::awaitable<bool> write_chunk(
    caller_connection& caller, std::string_view events, const limits& bounds)
{
    caller.stream_.expires_after(bounds.idle_timeout_);
    if (caller.ends_with_connection_) {
        const auto [failure, sent] = co_await asio::async_write(
            caller.stream_, asio::buffer(events), base::await_tuple);
        co_return !failure;
    }
    const auto [failure, sent] = co_await asio::async_write(
        caller.stream_,
        http::make_chunk(asio::buffer(events)),
        base::await_tuple);
    co_return !failure;
}


asio::awaitable<bool>
write_last_chunk(caller_connection& caller, const limits& bounds)
{
    if (caller.ends_with_connection_) {
        reset_on_close(caller, false);
        co_return true;
    }
    caller.stream_.expires_after(bounds.idle_timeout_);
    const auto [failure, sent] = co_await asio::async_write(
        caller.stream_, http::make_chunk_last(), base::await_tuple);
    co_return !failure;
}

} // namespace monsoondock::traffic::pvt
