#include "daemon_call.hpp"

#include <monsoondock/base/read_response_header.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <optional>

namespace monsoondockctl {

namespace asio = boost::asio;
namespace base = monsoondock::base;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
namespace settings = monsoondock::settings;

namespace {

constexpr unsigned HTTP_1_1 = 11;
constexpr base::response_limits max_answer{
    .header_bytes_ = 8 * 1024, .body_bytes_ = std::uint64_t{8} * 1024 * 1024};

using response = http::response<http::string_body>;
using json_result = base::result<json::value>;


http::request<http::empty_body> make_request(
    const settings::socket_address& daemon,
    const std::string& target,
    const std::string& bearer)
{
    http::request<http::empty_body> r(http::verb::get, target, HTTP_1_1);
    r.set(http::field::host, to_string(daemon));
    r.set(http::field::connection, "close");
    if (!bearer.empty())
        r.set(http::field::authorization, "Bearer " + bearer);
    return r;
}


asio::awaitable<response> send_request(
    settings::socket_address daemon,
    http::request<http::empty_body> request,
    std::chrono::milliseconds timeout)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    const asio::ip::tcp::endpoint address(
        asio::ip::make_address(daemon.ip_), daemon.port_);
    co_await stream.async_connect(address, asio::use_awaitable);
    co_await http::async_write(stream, request, asio::use_awaitable);
    beast::flat_buffer buffer;
    std::optional<base::bounded_response_parser<http::string_body>> answer;
    const boost::system::error_code failure =
        co_await base::read_response(stream, buffer, answer, max_answer);
    if (failure)
        throw boost::system::system_error(failure);
    co_return answer->release();
}


base::problem no_answer_problem(const settings::socket_address& daemon)
{
    return {
        base::problem_code::unavailable,
        "the daemon at " + to_string(daemon) + " did not answer",
        "check --daemon or ask another daemon"};
}


json_result parse_answer(const response& answer)
{
    if (answer.result() != http::status::ok)
        return base::problem{
            base::problem_code::internal,
            "the daemon answered with status " +
                std::to_string(answer.result_int()) + ": " + answer.body(),
            "check the arguments and the version of the daemon"};
    boost::system::error_code error;
    json::value parsed = json::parse(answer.body(), error);
    if (error)
        return base::problem{
            base::problem_code::corrupt,
            "the daemon's answer is not JSON",
            "check that --daemon is the address of a daemon"};
    return parsed;
}


/// Starts one call. An answer overwrites result, which keeps its initial
/// problem when the call fails.
void start_call(
    asio::io_context& context,
    const settings::socket_address& daemon,
    http::request<http::empty_body> request,
    std::chrono::milliseconds timeout,
    json_result& result)
{
    asio::co_spawn(
        context,
        send_request(daemon, std::move(request), timeout),
        [&result](const std::exception_ptr& error, const response& answer) {
            if (!error)
                result = parse_answer(answer);
        });
}

} // namespace

json_result get_from_daemon(
    const settings::socket_address& daemon,
    const std::string& target,
    std::chrono::milliseconds timeout,
    const std::string& bearer)
{
    asio::io_context context;
    json_result result = no_answer_problem(daemon);
    start_call(
        context, daemon, make_request(daemon, target, bearer), timeout, result);
    context.run();
    return result;
}


std::vector<json_result> get_from_daemons(
    const std::vector<settings::socket_address>& daemons,
    const std::string& target,
    std::chrono::milliseconds timeout)
{
    asio::io_context context;
    std::vector<json_result> results;
    results.reserve(daemons.size());
    for (const settings::socket_address& daemon : daemons) {
        results.emplace_back(no_answer_problem(daemon));
        start_call(
            context,
            daemon,
            make_request(daemon, target, {}),
            timeout,
            results.back());
    }
    context.run();
    return results;
}


json_result get_from_daemon(
    const options& o, const std::string& target, const std::string& bearer)
{
    if (!o.daemon_)
        return base::problem{
            base::problem_code::invalid_argument,
            "no daemon address given",
            "add --daemon ip:port"};
    return get_from_daemon(*o.daemon_, target, o.timeout_, bearer);
}


std::string percent_encode(const std::string& text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        const bool plain = std::isalnum(byte) != 0 || c == '-' || c == '.' ||
                           c == '_' || c == '~';
        if (plain) {
            result += c;
            continue;
        }
        result += '%';
        result += digits[byte >> 4U];
        result += digits[byte & 0xFU];
    }
    return result;
}

} // namespace monsoondockctl
