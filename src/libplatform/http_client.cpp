#include "connection.hpp"
#include "store_json.hpp"

#include <monsoondock/platform/http_client.hpp>

#include <charconv>

namespace monsoondock::platform {

namespace asio = boost::asio;
namespace http = boost::beast::http;

using pvt::connect_failed;
using pvt::exchange_failed;
using pvt::exchange_result;

namespace {

constexpr std::size_t max_idle_connections = 8;


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


bool is_success(const http_response& response)
{
    return response.result() == http::status::ok ||
           response.result() == http::status::created;
}


std::uint64_t
era_of(const http_response& response, const store_dialect& dialect)
{
    const auto text = response[dialect.era_header_];
    std::uint64_t era = 0;
    std::from_chars(text.data(), text.data() + text.size(), era);
    return era;
}


void set_era(listing& l, std::uint64_t era)
{
    l.version_.era_ = era;
    for (object& o : l.objects_)
        o.version_.era_ = era;
}


void set_era(change_batch& batch, std::uint64_t era)
{
    batch.next_.era_ = era;
    for (change& c : batch.changes_)
        c.object_.version_.era_ = era;
}


base::problem history_lost()
{
    return {
        base::problem_code::exhausted,
        "the store has no changes since the watched version",
        "list the objects again"};
}


write_outcome
to_write_outcome(const exchange_result& result, const store_dialect& dialect)
{
    if (const auto* unconnected = std::get_if<connect_failed>(&result))
        return not_reached{unconnected->reason_};
    if (const auto* failed = std::get_if<exchange_failed>(&result))
        return answer_lost{failed->reason_};
    const auto& response = std::get<http_response>(result);
    if (response.result() == dialect.conflict_)
        return condition_failed{};
    if (response.result() == http::status::service_unavailable)
        return not_reached{"the platform's store is unavailable (status 503)"};
    // Other server errors may occur after the write took effect.
    if (response.result_int() >= 500)
        return answer_lost{"status " + std::to_string(response.result_int())};
    if (!is_success(response))
        return not_reached{"status " + std::to_string(response.result_int())};
    const auto v = dialect.read_version_(response.body());
    if (!base::ok(v))
        return answer_lost{base::error(v).message_};
    return written{{base::value(v).value_, era_of(response, dialect)}};
}


// The condition of a write that reaches a restored store may hold by
// coincidence, because versions are assigned again.
write_outcome check_era(write_outcome outcome, version expected)
{
    const auto* done = std::get_if<written>(&outcome);
    if (done != nullptr && done->version_.era_ != expected.era_)
        return answer_lost{"the store was restored from an older copy"};
    return outcome;
}

} // namespace

struct http_client::impl
{
    asio::any_io_executor executor_;
    std::vector<asio::ip::tcp::endpoint> addresses_;
    std::chrono::milliseconds timeout_;
    const store_dialect* dialect_ = nullptr;
    std::size_t current_address_ = 0;
    std::vector<std::unique_ptr<pvt::connection>> idle_connections_;
    std::uint64_t era_ = 0;


    // Returns false when the response was sent before the store was restored.
    bool is_current(const http_response& response)
    {
        const std::uint64_t era = era_of(response, *dialect_);
        if (era < era_)
            return false;
        era_ = era;
        return true;
    }


    asio::awaitable<exchange_result> call_on_new_connection(
        http_request request, std::chrono::milliseconds timeout)
    {
        std::string reason = "no platform address is configured";
        for (std::size_t i = 0; i < addresses_.size(); ++i) {
            auto c = std::make_unique<pvt::connection>(executor_);
            const auto& address = addresses_[current_address_];
            reason = co_await pvt::open(*c, address, timeout_);
            if (reason.empty())
                co_return co_await call_on_connection(
                    std::move(c), std::move(request), timeout);
            current_address_ = (current_address_ + 1) % addresses_.size();
        }
        co_return connect_failed{reason};
    }


    asio::awaitable<exchange_result> call_on_connection(
        std::unique_ptr<pvt::connection> c,
        http_request request,
        std::chrono::milliseconds timeout)
    {
        exchange_result result =
            co_await pvt::exchange(*c, std::move(request), timeout);
        const auto* response = std::get_if<http_response>(&result);
        if (response != nullptr && !is_current(*response))
            co_return exchange_failed{"response of an earlier era"};
        const bool reusable = response != nullptr && response->keep_alive() &&
                              pvt::is_reusable(*c);
        if (reusable && idle_connections_.size() < max_idle_connections)
            idle_connections_.push_back(std::move(c));
        co_return result;
    }


    // Reads are idempotent: when an idle connection turns out to be closed by
    // the platform, the read is repeated on a new one.
    asio::awaitable<exchange_result>
    call_read(http_request request, std::chrono::milliseconds timeout)
    {
        std::erase_if(idle_connections_, [](const auto& idle) {
            return !pvt::is_reusable(*idle);
        });
        if (!idle_connections_.empty()) {
            auto c = std::move(idle_connections_.back());
            idle_connections_.pop_back();
            exchange_result result =
                co_await call_on_connection(std::move(c), request, timeout);
            if (std::holds_alternative<http_response>(result))
                co_return result;
            idle_connections_.clear();
        }
        co_return co_await call_on_new_connection(std::move(request), timeout);
    }
};


http_client::http_client(
    asio::any_io_executor executor,
    std::vector<asio::ip::tcp::endpoint> addresses,
    std::chrono::milliseconds timeout,
    const store_dialect& dialect)
    : impl_(std::make_unique<impl>())
{
    impl_->executor_ = std::move(executor);
    impl_->addresses_ = std::move(addresses);
    impl_->timeout_ = timeout;
    impl_->dialect_ = &dialect;
}


http_client::~http_client() = default;


std::uint64_t http_client::era() const noexcept
{
    return impl_->era_;
}


asio::awaitable<base::result<std::optional<object>>>
http_client::get(std::string key)
{
    const auto result =
        co_await impl_->call_read(impl_->dialect_->get_(key), impl_->timeout_);
    const auto* response = std::get_if<http_response>(&result);
    if (response == nullptr)
        co_return unavailable("connection failed");
    if (response->result() == http::status::not_found)
        co_return std::optional<object>();
    if (response->result() != http::status::ok)
        co_return unexpected_status(*response);
    auto parsed = impl_->dialect_->read_object_(key, response->body());
    if (!base::ok(parsed))
        co_return base::error(parsed);
    object found = base::value(std::move(parsed));
    found.version_.era_ = era_of(*response, *impl_->dialect_);
    co_return std::optional<object>(std::move(found));
}


asio::awaitable<base::result<listing>> http_client::list(std::string prefix)
{
    listing all;
    std::string after;
    bool first = true;
    do {
        const auto result = co_await impl_->call_read(
            impl_->dialect_->list_(prefix, after), impl_->timeout_);
        const auto* response = std::get_if<http_response>(&result);
        if (response == nullptr)
            co_return unavailable("connection failed");
        if (response->result() != http::status::ok)
            co_return unexpected_status(*response);
        auto read = impl_->dialect_->read_listing_(prefix, response->body());
        if (!base::ok(read))
            co_return base::error(read);
        auto& page = base::value(read);
        const std::uint64_t era = era_of(*response, *impl_->dialect_);
        set_era(page.part_, era);
        if (!first && era != all.version_.era_)
            co_return unavailable("it was restored between two pages");
        // The version of the first page is the oldest one; a watch from it
        // misses no change made while later pages are read.
        if (first)
            all.version_ = page.part_.version_;
        first = false;
        for (object& o : page.part_.objects_)
            all.objects_.push_back(std::move(o));
        after = std::move(page.after_);
    } while (!after.empty());
    co_return all;
}


asio::awaitable<write_outcome>
http_client::put(std::string key, std::string value, write_condition condition)
{
    const auto* expected = std::get_if<if_version>(&condition);
    if (expected != nullptr && expected->version_.era_ < impl_->era_)
        co_return condition_failed{};
    auto request = impl_->dialect_->put_(key, value, condition);
    // The platform may have closed an idle connection unnoticed, which would
    // make the outcome of the write unknown. With a new connection, a failure
    // to connect always means not_reached.
    const auto result = co_await impl_->call_on_new_connection(
        std::move(request), impl_->timeout_);
    auto outcome = to_write_outcome(result, *impl_->dialect_);
    if (expected == nullptr)
        co_return outcome;
    co_return check_era(std::move(outcome), expected->version_);
}


asio::awaitable<write_outcome>
http_client::erase(std::string key, version expected)
{
    if (expected.era_ < impl_->era_)
        co_return condition_failed{};
    const auto result = co_await impl_->call_on_new_connection(
        impl_->dialect_->erase_(key, expected), impl_->timeout_);
    co_return check_era(to_write_outcome(result, *impl_->dialect_), expected);
}


asio::awaitable<base::result<change_batch>> http_client::watch(
    std::string prefix, version from, std::chrono::milliseconds wait)
{
    if (from.era_ < impl_->era_)
        co_return history_lost();
    const auto result = co_await impl_->call_read(
        impl_->dialect_->watch_(prefix, from, wait), wait + impl_->timeout_);
    const auto* response = std::get_if<http_response>(&result);
    if (response == nullptr)
        co_return unavailable("connection failed");
    if (response->result() == http::status::gone)
        co_return history_lost();
    if (response->result() != http::status::ok)
        co_return unexpected_status(*response);
    const std::uint64_t era = era_of(*response, *impl_->dialect_);
    if (era != from.era_)
        co_return history_lost();
    auto read = impl_->dialect_->read_changes_(prefix, response->body());
    if (base::ok(read))
        set_era(base::value(read), era);
    co_return read;
}

} // namespace monsoondock::platform
