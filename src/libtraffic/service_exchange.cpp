#include "service_exchange.hpp"

#include "caller_response.hpp"
#include "confirm_end.hpp"
#include "in_flight_guard.hpp"
#include "upstream_limit.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/event_line.hpp>
#include <monsoondock/base/read_response_header.hpp>

#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>

namespace monsoondock::traffic::pvt {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr unsigned http_version_1_1 = 11;
constexpr std::size_t max_answer_bytes = std::size_t{8} * 1024 * 1024;


void copy_field(
    const caller_request& source, caller_request& target, const char* name)
{
    const auto field = source.find(name);
    if (field != source.end())
        target.set(name, field->value());
}


caller_request
make_service_request(const request_context& context, const std::string& path)
{
    const caller_request& source = context.request_;
    caller_request request(source.method(), path, http_version_1_1);
    request.set(http::field::host, "service");
    request.set("X-Request-Id", context.id_.value_);
    request.set("X-Workspace", context.workspace_.value_);
    static constexpr std::array forwarded_headers{
        "Content-Type", "Accept", "Idempotency-Key", "traceparent"};
    for (const char* name : forwarded_headers)
        copy_field(source, request, name);
    request.keep_alive(false);
    request.body() = source.body();
    request.prepare_payload();
    return request;
}


std::chrono::nanoseconds
time_left(const request_context& context, std::chrono::nanoseconds bound)
{
    if (!context.deadline_)
        return bound;
    const auto left = *context.deadline_ - base::boot_clock::now();
    return std::clamp<std::chrono::nanoseconds>(
        left, std::chrono::nanoseconds::zero(), bound);
}


call_failure fail_call(
    const request_context& context,
    const service_host& host,
    run_state run,
    std::string reason)
{
    base::event_line("upstream_failed", base::severity::warning)
        .field("request", context.id_)
        .field("host", host.host_)
        .field("reason", reason);
    return {run, std::move(reason)};
}

} // namespace

asio::awaitable<call_result> call_service(
    traffic_thread& thread,
    const request_context& context,
    const service_host& host,
    std::string path)
{
    const limits& bounds = thread.options_.limits_;
    const in_flight_guard load_guard(host.load_);
    host.load_->limit_.record_send(base::boot_clock::now());
    const auto upstream =
        co_await connect_upstream(host.address_, bounds.connect_timeout_);
    if (upstream == nullptr)
        co_return fail_call(
            context, host, run_state::unsent, "could not connect to the host");
    const caller_request request = make_service_request(context, path);
    upstream->stream_.expires_after(
        time_left(context, bounds.upstream_idle_timeout_));
    const auto [write_failure, sent] = co_await http::async_write(
        upstream->stream_, request, base::await_tuple);
    if (write_failure)
        co_return fail_call(
            context, host, run_state::maybe_sent, "writing the request failed");
    std::optional<base::bounded_response_parser<http::string_body>> parser;
    const boost::system::error_code read_failure = co_await base::read_response(
        upstream->stream_,
        upstream->buffer_,
        parser,
        {max_response_header_bytes, max_answer_bytes});
    if (read_failure)
        co_return fail_call(
            context,
            host,
            run_state::maybe_sent,
            "no complete response received: " + read_failure.message());
    const auto& answer = parser->get();
    const base::body_end end = co_await confirm_end(
        end_of_body(base::framing_of(*parser), answer.body()),
        host.address_,
        bounds.connect_timeout_);
    if (base::judge(end) != base::end_verdict::complete)
        co_return fail_call(
            context,
            host,
            run_state::maybe_sent,
            "the end of the response is not confirmed: " +
                std::string(base::reason_of(end)));
    record_limit(thread, *host.load_, host.host_.value_, answer);
    co_return make_caller_response(answer, answer.body());
}

} // namespace monsoondock::traffic::pvt
