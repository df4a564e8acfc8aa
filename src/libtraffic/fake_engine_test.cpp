#include "fake_engine_test.hpp"

#include <monsoondock/base/await_tuple.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
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
const std::string stale_generation_response =
    "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}";


std::string make_answer(
    engine_fault fault,
    const std::string& id,
    const std::string& prompt,
    std::uint64_t from)
{
    const std::string complete = head(id) + events(prompt, from) + stream_end;
    switch (fault) {
    case engine_fault::none:
    case engine_fault::slow_head:
    case engine_fault::slow_stream:
    case engine_fault::stalled_stream:
    case engine_fault::stalled_head:
        return complete;
    case engine_fault::truncated:
        return complete.substr(0, complete.size() - stream_end.size() - 20);
    case engine_fault::missing_done_event:
        return head(id) + events(prompt, from) + "0\r\n\r\n";
    case engine_fault::duplicated:
        return complete + complete;
    case engine_fault::wrong_request_id:
        return head("another") + events("another", from) + stream_end;
    case engine_fault::stale_generation:
        break;
    }
    return stale_generation_response;
}


// Returns how much of the answer is sent before a pause.
std::size_t pause_offset(engine_fault fault, const std::string& answer)
{
    if (fault == engine_fault::slow_head || fault == engine_fault::stalled_head)
        return 0;
    if (fault == engine_fault::slow_stream ||
        fault == engine_fault::stalled_stream)
        return answer.size() - stream_end.size() - 20;
    return answer.size();
}

} // namespace

struct fake_engine::impl
{
    asio::io_context context_{1};
    tcp::acceptor acceptor_{
        context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    std::thread thread_;
    std::atomic<int> requests_{0};
    std::atomic<int> faults_left_{0};
    std::atomic<engine_fault> fault_{engine_fault::none};


    engine_fault next_fault()
    {
        return faults_left_-- > 0 ? fault_.load() : engine_fault::none;
    }


    asio::awaitable<void>
    send(tcp::socket& socket, std::string text, std::size_t at, engine_fault f)
    {
        const std::string first = text.substr(0, at);
        co_await asio::async_write(
            socket, asio::buffer(first), base::await_tuple);
        if (at == text.size())
            co_return;
        asio::steady_timer timer(context_);
        if (f == engine_fault::stalled_stream ||
            f == engine_fault::stalled_head)
            timer.expires_at(asio::steady_timer::time_point::max());
        else
            timer.expires_after(slow_engine_pause);
        co_await timer.async_wait(base::await_tuple);
        const std::string rest = text.substr(at);
        co_await asio::async_write(
            socket, asio::buffer(rest), base::await_tuple);
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
            const engine_fault fault = next_fault();
            const std::string answer = make_answer(
                fault,
                std::string(request["X-Request-Id"]),
                prompt,
                resume.empty() ? 0 : std::stoull(resume));
            co_await send(socket, answer, pause_offset(fault, answer), fault);
            if (fault == engine_fault::truncated)
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


void fake_engine::inject_faults(engine_fault fault, int count)
{
    impl_->fault_ = fault;
    impl_->faults_left_ = count;
}


int fake_engine::requests() const
{
    return impl_->requests_;
}


std::string expected_answer(const std::string& prompt)
{
    std::string text;
    for (std::uint64_t i = 0; i < token_count; ++i)
        text += token(prompt, i);
    return text;
}

} // namespace monsoondock::traffic::test
