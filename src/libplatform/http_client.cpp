#include "connection.hpp"
#include "store_json.hpp"

#include <monsoondock/platform/http_client.hpp>

#include <cctype>

namespace monsoondock::platform {

namespace asio = boost::asio;
namespace http = boost::beast::http;

using pvt::connect_failed;
using pvt::exchange_failed;
using pvt::exchange_result;
using pvt::http_request;
using pvt::http_response;

namespace {

constexpr unsigned http_version_1_1 = 11;
constexpr std::size_t max_idle_connections = 8;


std::string percent_encode(std::string_view text)
{
    static constexpr char digits[] = "0123456789ABCDEF";
    std::string result;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) ||
            std::string_view("-._~/").find(c) != std::string_view::npos) {
            result += c;
            continue;
        }
        result += '%';
        result += digits[byte >> 4U];
        result += digits[byte & 15U];
    }
    return result;
}


http_request make_request(http::verb method, const std::string& target)
{
    http_request request(method, target, http_version_1_1);
    request.set(http::field::host, "platform");
    return request;
}


std::string quoted(version v)
{
    return '"' + std::to_string(v.value_) + '"';
}


base::problem unavailable(const std::string& reason)
{
    return {
        base::problem_code::unavailable,
        "the platform's store gave no answer: " + reason,
        "check the platform addresses and try again"};
}


base::problem unexpected_status(const http_response& response)
{
    return unavailable("status " + std::to_string(response.result_int()));
}


write_outcome to_write_outcome(const exchange_result& result)
{
    if (const auto* refused = std::get_if<connect_failed>(&result))
        return not_reached{refused->reason_};
    if (const auto* lost = std::get_if<exchange_failed>(&result))
        return answer_lost{lost->reason_};
    const auto& response = std::get<http_response>(result);
    if (response.result() == http::status::precondition_failed)
        return condition_failed{};
    if (response.result() == http::status::service_unavailable)
        return not_reached{"the store is down"};
    // Any other server error may come after the write took effect.
    if (response.result_int() >= 500)
        return answer_lost{"status " + std::to_string(response.result_int())};
    if (response.result() != http::status::ok)
        return not_reached{"status " + std::to_string(response.result_int())};
    const auto v = pvt::parse_version(response.body());
    if (!base::ok(v))
        return answer_lost{base::error(v).message_};
    return written{base::value(v)};
}

} // namespace

struct http_client::impl
{
    asio::any_io_executor executor_;
    std::vector<asio::ip::tcp::endpoint> addresses_;
    std::chrono::milliseconds timeout_;
    std::size_t preferred_ = 0;
    std::vector<std::unique_ptr<pvt::connection>> idle_;


    asio::awaitable<exchange_result>
    call_fresh(http_request request, std::chrono::milliseconds timeout)
    {
        std::string reason = "no platform address is set";
        for (std::size_t i = 0; i < addresses_.size(); ++i) {
            auto c = std::make_unique<pvt::connection>(executor_);
            const auto& address = addresses_[preferred_];
            reason = co_await pvt::open(*c, address, timeout_);
            if (reason.empty())
                co_return co_await call_on(
                    std::move(c), std::move(request), timeout);
            preferred_ = (preferred_ + 1) % addresses_.size();
        }
        co_return connect_failed{reason};
    }


    asio::awaitable<exchange_result> call_on(
        std::unique_ptr<pvt::connection> c,
        http_request request,
        std::chrono::milliseconds timeout)
    {
        exchange_result result =
            co_await pvt::exchange(*c, std::move(request), timeout);
        const auto* response = std::get_if<http_response>(&result);
        const bool reusable = response != nullptr && response->keep_alive();
        if (reusable && idle_.size() < max_idle_connections)
            idle_.push_back(std::move(c));
        co_return result;
    }


    // A read may be repeated, so a kept connection that the platform closed
    // in the meantime is replaced by a fresh one.
    asio::awaitable<exchange_result>
    call_read(http_request request, std::chrono::milliseconds timeout)
    {
        if (!idle_.empty()) {
            auto c = std::move(idle_.back());
            idle_.pop_back();
            exchange_result result =
                co_await call_on(std::move(c), request, timeout);
            if (std::holds_alternative<http_response>(result))
                co_return result;
            idle_.clear();
        }
        co_return co_await call_fresh(std::move(request), timeout);
    }
};


http_client::http_client(
    asio::any_io_executor executor,
    std::vector<asio::ip::tcp::endpoint> addresses,
    std::chrono::milliseconds timeout)
    : impl_(std::make_unique<impl>())
{
    impl_->executor_ = std::move(executor);
    impl_->addresses_ = std::move(addresses);
    impl_->timeout_ = timeout;
}


http_client::~http_client() = default;


asio::awaitable<base::result<std::optional<object>>>
http_client::get(std::string key)
{
    auto request =
        make_request(http::verb::get, "/v1/objects/" + percent_encode(key));
    const auto result =
        co_await impl_->call_read(std::move(request), impl_->timeout_);
    const auto* response = std::get_if<http_response>(&result);
    if (response == nullptr)
        co_return unavailable("connection failed");
    if (response->result() == http::status::not_found)
        co_return std::optional<object>();
    if (response->result() != http::status::ok)
        co_return unexpected_status(*response);
    auto parsed = pvt::parse_object(response->body());
    if (!base::ok(parsed))
        co_return base::error(parsed);
    co_return std::optional<object>(base::value(std::move(parsed)));
}


asio::awaitable<base::result<listing>> http_client::list(std::string prefix)
{
    auto request = make_request(
        http::verb::get, "/v1/objects?prefix=" + percent_encode(prefix));
    const auto result =
        co_await impl_->call_read(std::move(request), impl_->timeout_);
    const auto* response = std::get_if<http_response>(&result);
    if (response == nullptr)
        co_return unavailable("connection failed");
    if (response->result() != http::status::ok)
        co_return unexpected_status(*response);
    co_return pvt::parse_listing(response->body());
}


asio::awaitable<write_outcome>
http_client::put(std::string key, std::string value, write_condition condition)
{
    auto request =
        make_request(http::verb::put, "/v1/objects/" + percent_encode(key));
    if (const auto* expected = std::get_if<if_version>(&condition))
        request.set(http::field::if_match, quoted(expected->version_));
    else
        request.set(http::field::if_none_match, "*");
    request.set(http::field::content_type, "application/json");
    request.body() = std::move(value);
    request.prepare_payload();
    // A kept connection may be closed unseen, which would make the outcome of
    // the write unknown; a fresh one keeps "not reached" certain.
    co_return to_write_outcome(
        co_await impl_->call_fresh(std::move(request), impl_->timeout_));
}


asio::awaitable<write_outcome>
http_client::erase(std::string key, version expected)
{
    auto request =
        make_request(http::verb::delete_, "/v1/objects/" + percent_encode(key));
    request.set(http::field::if_match, quoted(expected));
    co_return to_write_outcome(
        co_await impl_->call_fresh(std::move(request), impl_->timeout_));
}


asio::awaitable<base::result<change_batch>> http_client::watch(
    std::string prefix, version from, std::chrono::milliseconds wait)
{
    auto request = make_request(
        http::verb::get,
        "/v1/watch?prefix=" + percent_encode(prefix) +
            "&from=" + std::to_string(from.value_) +
            "&wait_ms=" + std::to_string(wait.count()));
    const auto result =
        co_await impl_->call_read(std::move(request), wait + impl_->timeout_);
    const auto* response = std::get_if<http_response>(&result);
    if (response == nullptr)
        co_return unavailable("connection failed");
    if (response->result() == http::status::gone)
        co_return base::problem{
            base::problem_code::exhausted,
            "the watch is older than the history kept",
            "list again"};
    if (response->result() != http::status::ok)
        co_return unexpected_status(*response);
    co_return pvt::parse_changes(response->body());
}

} // namespace monsoondock::platform
