#include "fake_engine_test.hpp"

#include <monsoondock/base/await_tuple.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/parse.hpp>

#include <thread>

namespace monsoondock::traffic::test {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

using asio::ip::tcp;

namespace {

constexpr std::uint64_t token_count = 3;


std::string token(const std::string& prompt, std::uint64_t i)
{
    return "w" + std::to_string(i) + "-" + prompt + " ";
}


std::string chunk(const std::string& text)
{
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    return size + text + "\r\n";
}


std::string head(const std::string& id)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
           "X-Request-Id: " +
           id + "\r\nTransfer-Encoding: chunked\r\n\r\n";
}


std::string events(const std::string& prompt, std::uint64_t from)
{
    std::string text;
    for (std::uint64_t i = from; i < token_count; ++i)
        text += chunk(
            "data: {\"choices\":[{\"delta\":{\"content\":\"" +
            token(prompt, i) + "\"}}]}\n\n");
    return text;
}


const std::string stream_end = chunk("data: [DONE]\n\n") + "0\r\n\r\n";
const std::string stale =
    "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}";


std::string make_answer(
    misbehaviour how,
    const std::string& id,
    const std::string& prompt,
    std::uint64_t from)
{
    const std::string whole = head(id) + events(prompt, from) + stream_end;
    switch (how) {
    case misbehaviour::none:
        return whole;
    case misbehaviour::cut:
        return whole.substr(0, whole.size() - stream_end.size() - 20);
    case misbehaviour::ends_early:
        return head(id) + events(prompt, from) + "0\r\n\r\n";
    case misbehaviour::doubled:
        return whole + whole;
    case misbehaviour::crossed:
        return head("another") + events("another", from) + stream_end;
    case misbehaviour::stale_generation:
        break;
    }
    return stale;
}

} // namespace

struct fake_engine::impl
{
    asio::io_context context_{1};
    tcp::acceptor acceptor_{
        context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    std::thread thread_;
    std::atomic<int> requests_{0};
    std::atomic<int> wrong_left_{0};
    std::atomic<misbehaviour> how_{misbehaviour::none};


    misbehaviour next()
    {
        return wrong_left_-- > 0 ? how_.load() : misbehaviour::none;
    }


    asio::awaitable<void> serve(tcp::socket socket)
    {
        boost::beast::flat_buffer buffer;
        for (;;) {
            http::request<http::string_body> request;
            const auto [failure, size] = co_await http::async_read(
                socket, buffer, request, base::await_tuple);
            if (failure)
                co_return;
            ++requests_;
            const auto body = json::parse(request.body());
            const std::string prompt(
                body.at("messages").at(0).at("content").as_string());
            const std::string resume(request["X-Resume-From"]);
            const misbehaviour how = next();
            const std::string answer = make_answer(
                how,
                std::string(request["X-Request-Id"]),
                prompt,
                resume.empty() ? 0 : std::stoull(resume));
            co_await asio::async_write(
                socket, asio::buffer(answer), base::await_tuple);
            if (how == misbehaviour::cut)
                co_return;
        }
    }


    asio::awaitable<void> accept_all()
    {
        for (;;) {
            auto [failure, socket] =
                co_await acceptor_.async_accept(base::await_tuple);
            if (failure)
                co_return;
            asio::co_spawn(context_, serve(std::move(socket)), asio::detached);
        }
    }
};


fake_engine::fake_engine() : impl_(std::make_unique<impl>())
{
    asio::co_spawn(impl_->context_, impl_->accept_all(), asio::detached);
    impl_->thread_ = std::thread([this] { impl_->context_.run(); });
}


fake_engine::~fake_engine()
{
    impl_->context_.stop();
    impl_->thread_.join();
}


tcp::endpoint fake_engine::address() const
{
    return impl_->acceptor_.local_endpoint();
}


void fake_engine::misbehave(misbehaviour how, int count)
{
    impl_->how_ = how;
    impl_->wrong_left_ = count;
}


int fake_engine::requests() const
{
    return impl_->requests_;
}


std::string right_answer(const std::string& prompt)
{
    std::string text;
    for (std::uint64_t i = 0; i < token_count; ++i)
        text += token(prompt, i);
    return text;
}

} // namespace monsoondock::traffic::test
