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

#include <mutex>
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


const std::string filler(std::size_t{64} * 1024, 'a');
const std::string informational_response = "HTTP/1.1 102 Processing\r\n\r\n";


// A header field without its first letter, and the first letter of the next
// one: the parser expects no limit of the whole header then.
std::string field_line()
{
    return "-Field: " + std::string(53, 'a') + "\r\nX";
}


// Returns the part of an endless fault that is sent again and again; empty for
// other faults.
std::string repeated_part(engine_fault fault)
{
    switch (fault) {
    case engine_fault::endless_status_line:
    case engine_fault::endless_chunk_extension:
    case engine_fault::endless_body:
    case engine_fault::endless_after_response:
        return filler;
    case engine_fault::endless_fields:
    case engine_fault::endless_trailers:
        return field_line();
    case engine_fault::endless_informational:
        return informational_response;
    case engine_fault::endless_chunk_header:
        return std::string(filler.size(), '0');
    case engine_fault::endless_event:
        return chunk(filler);
    case engine_fault::endless_after_done: {
        std::string events;
        for (int i = 0; i < 1000; ++i)
            events += "data: a\n\n";
        return chunk(events);
    }
    default:
        return {};
    }
}


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
    case engine_fault::trickling_stream:
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
    case engine_fault::informational_first:
        return informational_response + complete;
    case engine_fault::begins_anew:
        return head(id) + events(prompt, 0) + stream_end;
    case engine_fault::no_stream:
        return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
               "X-Request-Id: " +
               id + "\r\nContent-Length: 2\r\n\r\n{}";
    case engine_fault::endless_status_line:
        return "HTTP/1.1 200 a";
    case engine_fault::endless_fields:
        return "HTTP/1.1 200 " + std::string(48, 'a') + "\r\nX";
    case engine_fault::endless_informational:
        return informational_response;
    case engine_fault::endless_chunk_header:
        return head(id);
    case engine_fault::endless_chunk_extension:
        return head(id) + "5;a=";
    case engine_fault::endless_trailers:
        return head(id) + "0\r\nX";
    case engine_fault::endless_event:
        return head(id) + chunk("data: ");
    case engine_fault::endless_after_done:
        return head(id) + events(prompt, from) + chunk("data: [DONE]\n\n");
    case engine_fault::endless_body:
        return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";
    case engine_fault::endless_after_response:
        return complete;
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
        fault == engine_fault::trickling_stream ||
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
    std::atomic<int> endless_faults_{0};
    std::atomic<std::size_t> endless_bytes_{0};
    std::atomic<engine_fault> fault_{engine_fault::none};
    std::mutex mutex_;
    std::string limit_;
    std::string rest_;


    std::string add_limit(std::string answer)
    {
        const std::lock_guard lock(mutex_);
        if (!rest_.empty())
            return "HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + rest_ +
                   "\r\nContent-Length: 2\r\n\r\n{}";
        if (!limit_.empty())
            answer.insert(
                answer.find("\r\n") + 2, "X-Request-Limit: " + limit_ + "\r\n");
        return answer;
    }


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
        for (; f == engine_fault::trickling_stream && at < text.size(); ++at) {
            timer.expires_after(trickle_pause);
            co_await timer.async_wait(base::await_tuple);
            co_await asio::async_write(
                socket, asio::buffer(&text[at], 1), base::await_tuple);
        }
        if (at == text.size())
            co_return;
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


    asio::awaitable<void> repeat(tcp::socket& socket, const std::string& part)
    {
        for (std::size_t sent = 0; sent < max_endless_bytes;) {
            const auto [failure, size] = co_await asio::async_write(
                socket, asio::buffer(part), base::await_tuple);
            endless_bytes_ += size;
            sent += size;
            if (failure)
                break;
        }
        --endless_faults_;
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
            const std::string answer = add_limit(make_answer(
                fault,
                std::string(request["X-Request-Id"]),
                prompt,
                resume.empty() ? 0 : std::stoull(resume)));
            const std::string repeated = repeated_part(fault);
            if (!repeated.empty())
                ++endless_faults_;
            co_await send(socket, answer, pause_offset(fault, answer), fault);
            if (!repeated.empty()) {
                co_await repeat(socket, repeated);
                co_return;
            }
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


void fake_engine::set_rest(std::string seconds)
{
    const std::lock_guard lock(impl_->mutex_);
    impl_->rest_ = std::move(seconds);
}


void fake_engine::set_limit(std::string limit)
{
    const std::lock_guard lock(impl_->mutex_);
    impl_->limit_ = std::move(limit);
}


int fake_engine::requests() const
{
    return impl_->requests_;
}


bool fake_engine::wait_for_end_of_faults(std::chrono::milliseconds time) const
{
    static constexpr std::chrono::milliseconds poll_period{5};
    const auto end = std::chrono::steady_clock::now() + time;
    while (impl_->endless_faults_ > 0) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(poll_period);
    }
    return true;
}


std::size_t fake_engine::endless_bytes() const
{
    return impl_->endless_bytes_;
}


std::string expected_answer(const std::string& prompt)
{
    std::string text;
    for (std::uint64_t i = 0; i < token_count; ++i)
        text += token(prompt, i);
    return text;
}

} // namespace monsoondock::traffic::test
