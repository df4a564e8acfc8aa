#include "roles.hpp"

#include <monsoondock/base/read_response_header.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <iostream>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace monsoondock::bench {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

using clock = std::chrono::steady_clock;

using base::await_tuple;

constexpr unsigned http_version_1_1 = 11;
constexpr std::chrono::seconds warm_up{2};
constexpr std::size_t read_bytes = 4096;
constexpr base::response_limits max_response{
    .header_bytes_ = 8 * 1024,
    .body_bytes_ = std::numeric_limits<std::uint64_t>::max()};

// Measurements of all streams of the client within the measurement window.
struct stream_measurements
{
    clock::time_point window_start_;
    clock::time_point window_end_;
    std::vector<double> first_event_us_;
    std::vector<double> token_delay_us_;
    std::uint64_t requests_ = 0;
    std::uint64_t failures_ = 0;
};


double microseconds(clock::duration d)
{
    return std::chrono::duration<double, std::micro>(d).count();
}


bool in_window(const stream_measurements& measurements, clock::time_point t)
{
    return t >= measurements.window_start_ && t < measurements.window_end_;
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


// Records the delay of each token in text. Events that are split between two
// reads are not reassembled: a split before the time skips the token, a split
// within the time gives a wrong delay.
void record_tokens(
    stream_measurements& measurements,
    const std::string& text,
    clock::time_point now)
{
    constexpr std::string_view content_key = "\"content\":\"";
    std::size_t at = 0;
    while ((at = text.find(content_key, at)) != std::string::npos) {
        at += content_key.size();
        std::int64_t sent_ticks = 0;
        std::from_chars(
            text.data() + at, text.data() + text.size(), sent_ticks);
        const clock::time_point sent_at{clock::duration(sent_ticks)};
        if (in_window(measurements, now))
            measurements.token_delay_us_.push_back(microseconds(now - sent_at));
    }
}


// Returns false when the response is incomplete.
asio::awaitable<bool> read_response(
    boost::beast::tcp_stream& stream,
    boost::beast::flat_buffer& buffer,
    stream_measurements& measurements,
    clock::time_point started)
{
    std::optional<base::bounded_response_parser<http::buffer_body>> received;
    const boost::system::error_code head_failure =
        co_await base::read_response_header(
            stream, buffer, received, max_response);
    if (head_failure || received->get().result() != http::status::ok)
        co_return false;
    auto& parser = *received;
    std::array<char, read_bytes> bytes{};
    bool awaiting_first = true;
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
        if (awaiting_first && !text.empty() && in_window(measurements, now))
            measurements.first_event_us_.push_back(microseconds(now - started));
        awaiting_first = awaiting_first && text.empty();
        record_tokens(measurements, text, now);
        done = done || text.find("[DONE]") != std::string::npos;
    }
    co_return done;
}


asio::awaitable<void> run_stream(
    const bench_options& options,
    stream_measurements& measurements,
    std::chrono::microseconds start_delay)
{
    const auto executor = co_await asio::this_coro::executor;
    // Streams start evenly spread over the duration of one response, because
    // real callers do not start at the same time either.
    asio::steady_timer timer(executor, start_delay);
    co_await timer.async_wait(await_tuple);
    boost::beast::tcp_stream stream(executor);
    const auto [failure] =
        co_await stream.async_connect(options.target_, await_tuple);
    if (failure) {
        ++measurements.failures_;
        co_return;
    }
    stream.socket().set_option(asio::ip::tcp::no_delay(true));
    boost::beast::flat_buffer buffer;
    while (clock::now() < measurements.window_end_) {
        const auto started = clock::now();
        co_await http::async_write(stream, make_request(), await_tuple);
        if (!co_await read_response(stream, buffer, measurements, started)) {
            ++measurements.failures_;
            co_return;
        }
        if (in_window(measurements, clock::now()))
            ++measurements.requests_;
    }
}


double percentile(std::vector<double>& values, double fraction)
{
    if (values.empty())
        return 0;
    const auto rank = static_cast<std::size_t>(
        fraction * static_cast<double>(values.size() - 1));
    const auto nth = values.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(values.begin(), nth, values.end());
    return *nth;
}


void print_summary(
    stream_measurements& measurements, std::chrono::seconds duration)
{
    const auto seconds = static_cast<double>(duration.count());
    boost::json::object summary;
    summary["first_p50_us"] = percentile(measurements.first_event_us_, 0.5);
    summary["first_p99_us"] = percentile(measurements.first_event_us_, 0.99);
    summary["token_p50_us"] = percentile(measurements.token_delay_us_, 0.5);
    summary["token_p99_us"] = percentile(measurements.token_delay_us_, 0.99);
    summary["tokens_per_s"] =
        static_cast<double>(measurements.token_delay_us_.size()) / seconds;
    summary["requests_per_s"] =
        static_cast<double>(measurements.requests_) / seconds;
    summary["failures"] = measurements.failures_;
    std::cout << boost::json::serialize(summary) << std::endl;
}

} // namespace

int run_client(const bench_options& options)
{
    asio::io_context context(1);
    stream_measurements measurements;
    const auto response_duration = options.token_interval_ * options.tokens_;
    measurements.window_start_ = clock::now() + warm_up + response_duration;
    measurements.window_end_ =
        measurements.window_start_ + options.measurement_time_;
    for (std::uint32_t i = 0; i < options.streams_; ++i) {
        const auto start_delay =
            std::chrono::microseconds(response_duration) * i / options.streams_;
        asio::co_spawn(
            context,
            run_stream(options, measurements, start_delay),
            asio::detached);
    }
    context.run();
    print_summary(measurements, options.measurement_time_);
    return measurements.failures_ == 0 ? 0 : 1;
}

} // namespace monsoondock::bench
