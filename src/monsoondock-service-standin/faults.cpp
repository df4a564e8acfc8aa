#include "faults.hpp"

#include <boost/json/value.hpp>

namespace monsoondock::service_standin {

void update_faults(faults& f, const boost::json::object& body)
{
    using ms = std::chrono::milliseconds;
    if (const auto* v = body.if_contains("crash_before_run"))
        f.crash_before_run_ = v->to_number<std::uint64_t>();
    if (const auto* v = body.if_contains("crash_after_run"))
        f.crash_after_run_ = v->to_number<std::uint64_t>();
    if (const auto* v = body.if_contains("delay_ms"))
        f.delay_ = ms(v->to_number<std::uint32_t>());
    if (const auto* v = body.if_contains("cut_after_bytes"))
        f.cut_after_bytes_ = v->to_number<std::uint64_t>();
    if (const auto* v = body.if_contains("raw_response"))
        f.raw_response_ = std::string(v->as_string());
}

} // namespace monsoondock::service_standin
