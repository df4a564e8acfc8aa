#include "faults.hpp"

#include <boost/json/value.hpp>

namespace monsoondock::engine_standin {

namespace {

void update_duration(
    std::chrono::milliseconds& duration,
    const boost::json::object& body,
    boost::json::string_view key)
{
    if (const auto* v = body.if_contains(key))
        duration = std::chrono::milliseconds(v->to_number<std::uint32_t>());
}

} // namespace

void update_faults(faults& f, const boost::json::object& body)
{
    update_duration(f.token_time_, body, "token_ms");
    update_duration(f.first_token_time_, body, "first_token_ms");
    update_duration(f.status_lag_, body, "status_lag_ms");
    if (const auto* v = body.if_contains("cut_after"))
        f.cut_after_ = v->to_number<std::uint64_t>();
    if (const auto* v = body.if_contains("ignore_generation"))
        f.ignore_generation_ = v->as_bool();
    if (const auto* v = body.if_contains("crash_on"))
        f.crash_on_ = v->as_string().c_str();
    if (const auto* v = body.if_contains("request_limit"))
        f.limit_ = v->to_number<double>();
}

} // namespace monsoondock::engine_standin
