#include "refusals.hpp"

namespace monsoondock::traffic::pvt {

namespace http = boost::beast::http;

namespace {

// A group is replaced or confirmed alive within seconds.
constexpr std::chrono::milliseconds upstream_retry_after{2000};
// Other daemons can take the request at once.
constexpr std::chrono::milliseconds stopping_retry_after{100};

} // namespace

refusal bad_request(http::status status, std::string type, std::string detail)
{
    return {
        status,
        std::move(type),
        std::move(detail),
        run_state::unsent,
        std::nullopt};
}


refusal no_upstream(run_state run, std::string detail)
{
    return {
        http::status::service_unavailable,
        "no_upstream",
        std::move(detail),
        run,
        upstream_retry_after};
}


refusal request_rate_exceeded(std::chrono::milliseconds retry_after)
{
    return {
        http::status::too_many_requests,
        "request_rate_exceeded",
        "the workspace has exceeded its request rate",
        run_state::unsent,
        retry_after};
}


refusal stopping(run_state run)
{
    return {
        http::status::service_unavailable,
        "stopping",
        "the daemon is about to exit and could not finish the request",
        run,
        stopping_retry_after};
}


refusal deadline_passed(run_state run)
{
    return {
        http::status::gateway_timeout,
        "deadline_passed",
        "the deadline of the request passed before an answer was complete",
        run,
        std::nullopt};
}

} // namespace monsoondock::traffic::pvt
