#include "service_relay.hpp"

#include "claimed_call.hpp"
#include "refusals.hpp"
#include "service_choice.hpp"
#include "service_exchange.hpp"

#include <algorithm>
#include <string_view>

namespace monsoondock::traffic::pvt {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::string_view path_prefix = "/services/";


const service_row*
find_service(const routing_snapshot& snapshot, std::string_view deployment)
{
    for (const service_row& row : snapshot.services_) {
        if (row.deployment_.value_ == deployment)
            return &row;
    }
    return nullptr;
}


} // namespace

asio::awaitable<reply>
serve_service_call(traffic_thread& thread, request_context& context)
{
    const std::string target(context.request_.target());
    const std::string_view rest =
        std::string_view(target).substr(path_prefix.size());
    const std::size_t slash = std::min(rest.find('/'), rest.size());
    const service_row* service =
        find_service(*context.snapshot_, rest.substr(0, slash));
    if (service == nullptr)
        co_return bad_request(
            http::status::not_found,
            "unknown_service",
            "no plain service has this name");
    if (!service->idempotent_ && context.request_.count("Idempotency-Key") == 0)
        co_return bad_request(
            http::status::bad_request,
            "missing_idempotency_key",
            "calls of this service need an Idempotency-Key header");
    std::string path(rest.substr(slash));
    if (path.empty())
        path = "/";
    if (!service->idempotent_)
        co_return co_await serve_claimed_call(
            thread, context, *service, std::move(path));
    const service_host* host =
        choose_host(*service, {}, base::boot_clock::now());
    if (host == nullptr)
        co_return no_upstream(
            run_state::unsent, "no host of the service can take the call");
    context.report_.upstream_ = host->host_.value_;
    ++context.report_.attempts_;
    auto result = co_await call_service(thread, context, *host, path);
    if (auto* response = std::get_if<buffered_response>(&result))
        co_return std::move(*response);
    const auto& failed = std::get<call_failure>(result);
    co_return no_upstream(failed.run_, failed.reason_);
}

} // namespace monsoondock::traffic::pvt
