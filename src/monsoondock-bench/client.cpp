#include "roles.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <iostream>
#include <string>
#include <vector>

namespace monsoondock::bench {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

using clock = std::chrono::steady_clock;

constexpr auto await_tuple = asio::as_tuple(asio::use_awaitable);
constexpr unsigned http_version_1_1 = 11;
constexpr std::chrono::seconds warm_up{2};
constexpr std::size_t read_bytes = 4096;

// What all streams of the client recorded.
struct client_record
{
    clock::time_point from_;
    clock::time_point until_;
    std::vector<double> first_us_;
    std::vector<double> token_us_;
    std::uint64_t requests_ = 0;
    std::uint64_t failures_ = 0;
};


double microseconds(clock::duration d)
{
    return std::chrono::duration<double, std::micro>(d).count();
}


bool is_measured(const client_record& record, clock::time_point t)
{
    return t >= record.from_ && t < record.until_;
}


http::request<http::string_body> make_request()
{
    http::request<http::string_body> request(
        http::verb::post, "/v1/chat/completions", http_version_1_1);
    request.set(http::field::host, "bench");
    request.set(http::field::authorization, "Bearer bench");
    request.set(http::field::content_type, "application/json");
    request.body() = R"({"model":"bench","stream":true,)"
                     R"("messages":[{"role":"user","content":"hello"}]})";
    request.prepare_payload();
    return request;
}


// Records the delay of each token whose event is whole in text.
void record_tokens(
    client_record& record, const std::string& text, clock::time_point now)
{
    constexpr std::string_view mark = "\"content\":\"";
    std::size_t at = 0;
    while ((at = text.find(mark, at)) != std::string::npos) {
        at += mark.size();
        std::int64_t sent = 0;
        std::from_chars(text.data() + at, text.data() + text.size(), sent);
        const clock::time_point stamp{clock::duration(sent)};
        if (is_measured(record, now))
            record.token_us_.push_back(microseconds(now - stamp));
    }
}


// Returns false when the answer was not whole.
asio::awaitable<bool> read_answer(
    boost::beast::tcp_stream& stream,
    boost::beast::flat_buffer& buffer,
    client_record& record,
    clock::time_point started)
{
    http::response_parser<http::buffer_body> parser;
    const auto [head_failure, head_size] =
        co_await http::async_read_header(stream, buffer, parser, await_tuple);
    if (head_failure || parser.get().result() != http::status::ok)
        co_return false;
    std::array<char, read_bytes> bytes{};
    bool first = true;
    bool done = false;
    while (!parser.is_done()) {
        parser.get().body().data = bytes.data();
        parser.get().body().size = bytes.size();
        const auto [failure, size] =
            co_await http::async_read_some(stream, buffer, parser, await_tuple);
        if (failure && failure != http::error::need_buffer)
            co_return false;
        const auto now = clock::now();
        const std::string text(
            bytes.data(), bytes.size() - parser.get().body().size);
        if (first && !text.empty() && is_measured(record, now))
            record.first_us_.push_back(microseconds(now - started));
        first = first && text.empty();
        record_tokens(record, text, now);
        done = done || text.find("[DONE]") != std::string::npos;
    }
    co_return done;
}


asio::awaitable<void> run_stream(
    const bench_options& options,
    client_record& record,
    std::chrono::microseconds start_after)
{
    const auto executor = co_await asio::this_coro::executor;
    // Streams begin spread over an answer's length, as real callers do.
    asio::steady_timer timer(executor, start_after);
    co_await timer.async_wait(await_tuple);
    boost::beast::tcp_stream stream(executor);
    const auto [failure] =
        co_await stream.async_connect(options.target_, await_tuple);
    if (failure) {
        ++record.failures_;
        co_return;
    }
    stream.socket().set_option(asio::ip::tcp::no_delay(true));
    boost::beast::flat_buffer buffer;
    while (clock::now() < record.until_) {
        const auto started = clock::now();
        co_await http::async_write(stream, make_request(), await_tuple);
        if (!co_await read_answer(stream, buffer, record, started)) {
            ++record.failures_;
            co_return;
        }
        if (is_measured(record, clock::now()))
            ++record.requests_;
    }
}


double percentile(std::vector<double>& values, double share)
{
    if (values.empty())
        return 0;
    const auto rank = static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1));
    const auto nth = values.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(values.begin(), nth, values.end());
    return *nth;
}


void print(client_record& record, std::chrono::seconds length)
{
    const auto seconds = static_cast<double>(length.count());
    boost::json::object line;
    line["first_p50_us"] = percentile(record.first_us_, 0.5);
    line["first_p99_us"] = percentile(record.first_us_, 0.99);
    line["token_p50_us"] = percentile(record.token_us_, 0.5);
    line["token_p99_us"] = percentile(record.token_us_, 0.99);
    line["tokens_per_s"] =
        static_cast<double>(record.token_us_.size()) / seconds;
    line["requests_per_s"] = static_cast<double>(record.requests_) / seconds;
    line["failures"] = record.failures_;
    std::cout << boost::json::serialize(line) << std::endl;
}

} // namespace

int run_client(const bench_options& options)
{
    asio::io_context context(1);
    client_record record;
    const auto answer_length = options.token_interval_ * options.tokens_;
    record.from_ = clock::now() + warm_up + answer_length;
    record.until_ = record.from_ + options.length_;
    for (std::uint32_t i = 0; i < options.streams_; ++i) {
        const auto start_after =
            std::chrono::microseconds(answer_length) * i / options.streams_;
        asio::co_spawn(
            context, run_stream(options, record, start_after), asio::detached);
    }
    context.run();
    print(record, options.length_);
    return record.failures_ == 0 ? 0 : 1;
}

} // namespace monsoondock::bench
