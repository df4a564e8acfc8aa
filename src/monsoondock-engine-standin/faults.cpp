#include "faults.hpp"

#include <boost/json/value.hpp>

namespace monsoondock::engine_standin {

namespace {

void change_time(
    std::chrono::milliseconds& time,
    const boost::json::object& body,
    boost::json::string_view key)
{
    if (const auto* v = body.if_contains(key))
        time = std::chrono::milliseconds(v->to_number<std::uint32_t>());
}

} // namespace

void change_faults(faults& f, const boost::json::object& body)
{
    change_time(f.token_time_, body, "token_ms");
    change_time(f.first_token_time_, body, "first_token_ms");
    change_time(f.status_lag_, body, "status_lag_ms");
    if (const auto* v = body.if_contains("cut_after"))
        f.cut_after_ = v->to_number<std::uint64_t>();
    if (const auto* v = body.if_contains("ignore_generation"))
        f.ignore_generation_ = v->as_bool();
    if (const auto* v = body.if_contains("crash_on"))
        f.crash_on_ = v->as_string().c_str();
}

} // namespace monsoondock::engine_standin
