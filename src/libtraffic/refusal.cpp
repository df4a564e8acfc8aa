#include <monsoondock/traffic/refusal.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace monsoondock::traffic {

namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr unsigned http_version_1_1 = 11;


// Rounds up, because Retry-After is in whole seconds.
std::string retry_after_seconds(std::chrono::milliseconds wait)
{
    return std::to_string(
        std::chrono::ceil<std::chrono::seconds>(wait).count());
}

} // namespace

buffered_response to_response(const refusal& r)
{
    json::object body;
    body["type"] = "urn:monsoondock:" + r.type_;
    body["title"] = std::string(http::obsolete_reason(r.status_));
    body["status"] = static_cast<unsigned>(r.status_);
    body["detail"] = r.detail_;
    body["run"] = to_caller_text(r.run_);
    if (r.key_run_)
        body["key_run"] = to_caller_text(*r.key_run_);
    buffered_response response(r.status_, http_version_1_1);
    if (r.retry_after_) {
        body["retry_after_ms"] = r.retry_after_->count();
        response.set(
            http::field::retry_after, retry_after_seconds(*r.retry_after_));
    }
    response.set(http::field::content_type, "application/problem+json");
    response.body() = json::serialize(body);
    return response;
}

} // namespace monsoondock::traffic
