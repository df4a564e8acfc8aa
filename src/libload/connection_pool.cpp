#include "connection_pool.hpp"

#include <monsoondock/base/read_response_header.hpp>
#include <monsoondock/standin/no_throw.hpp>
#include <monsoondock/standin/process.hpp>

#include <boost/asio/this_coro.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <optional>

namespace monsoondock::load::pvt {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using standin::NO_THROW;

namespace {

constexpr base::response_limits max_answer{
    .header_bytes_ = 8 * 1024, .body_bytes_ = std::uint64_t{64} * 1024 * 1024};

using connection_ptr = std::unique_ptr<connection>;
using parser = base::bounded_response_parser<http::string_body>;
using error_code = boost::system::error_code;


std::string describe_error(const error_code& error)
{
    if (error == boost::beast::error::timeout)
        return "timeout";
    if (error == http::error::end_of_stream)
        return "connection closed before the answer";
    if (error == http::error::partial_message)
        return "answer truncated";
    return error.message();
}


connection_ptr take_idle(connection_pool& pool, const std::string& address)
{
    auto& idle = pool.idle_[address];
    if (idle.empty())
        return nullptr;
    connection_ptr c = std::move(idle.back());
    idle.pop_back();
    return c;
}


asio::awaitable<connection_ptr>
connect(const std::string& address, std::chrono::milliseconds timeout)
{
    const auto executor = co_await asio::this_coro::executor;
    auto c = std::make_unique<connection>(executor);
    const auto endpoint = standin::parse_endpoint(address);
    c->stream_.expires_after(timeout);
    const auto [error] = co_await c->stream_.async_connect(endpoint, NO_THROW);
    if (error)
        co_return nullptr;
    error_code ignored;
    c->stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    co_return c;
}


/// Appends newly received bytes of the body and updates the times of a.
void append_body(raw_answer& a, const parser& p)
{
    const std::size_t size = p.get().body().size();
    if (size == a.body_.size())
        return;
    const auto now = base::boot_clock::now();
    if (a.body_.empty())
        a.first_byte_at_ = now;
    else
        a.longest_gap_ = std::max(a.longest_gap_, now - a.last_byte_at_);
    a.last_byte_at_ = now;
    a.body_.append(p.get().body(), a.body_.size(), std::string::npos);
}


asio::awaitable<error_code> read_body(connection& c, parser& p, raw_answer& a)
{
    append_body(a, p);
    while (!p.is_done()) {
        const auto [error, count] =
            co_await http::async_read_some(c.stream_, c.buffer_, p, NO_THROW);
        append_body(a, p);
        if (error)
            co_return error;
    }
    co_return error_code{};
}


/// Sends q on c and reads the answer into a.
asio::awaitable<error_code>
round_trip(connection& c, request& q, std::optional<parser>& p, raw_answer& a)
{
    const auto [write_error, sent] =
        co_await http::async_write(c.stream_, q, NO_THROW);
    if (write_error)
        co_return write_error;
    const error_code read_error = co_await base::read_response_header(
        c.stream_, c.buffer_, p, max_answer);
    if (read_error)
        co_return read_error;
    a.status_ = static_cast<int>(p->get().result_int());
    a.retry_after_ = p->get().count(http::field::retry_after) > 0;
    co_return co_await read_body(c, *p, a);
}


/// Sends q on an open connection, which returns to the pool when it can be
/// reused.
asio::awaitable<send_outcome> send_on(
    connection_pool& pool,
    std::string address,
    connection_ptr c,
    request& q,
    std::chrono::milliseconds timeout)
{
    c->stream_.expires_after(timeout);
    std::optional<parser> p;
    raw_answer a;
    const error_code error = co_await round_trip(*c, q, p, a);
    if (error)
        co_return transport_failure{describe_error(error)};
    if (a.body_.empty())
        a.first_byte_at_ = a.last_byte_at_ = base::boot_clock::now();
    if (p->get().keep_alive() && c->buffer_.size() == 0)
        pool.idle_[address].push_back(std::move(c));
    co_return a;
}

} // namespace

asio::awaitable<send_outcome> send(
    connection_pool& pool,
    std::string address,
    request q,
    bool retryable,
    std::chrono::milliseconds timeout)
{
    q.prepare_payload();
    connection_ptr idle;
    if (retryable)
        idle = take_idle(pool, address);
    if (idle) {
        auto outcome =
            co_await send_on(pool, address, std::move(idle), q, timeout);
        const auto* failure = std::get_if<transport_failure>(&outcome);
        if (!failure ||
            failure->reason_ != describe_error(http::error::end_of_stream))
            co_return outcome;
    }
    connection_ptr new_connection = co_await connect(address, timeout);
    if (!new_connection)
        co_return unreachable{};
    co_return co_await send_on(
        pool, address, std::move(new_connection), q, timeout);
}

} // namespace monsoondock::load::pvt
