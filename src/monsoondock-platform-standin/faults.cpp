#include "faults.hpp"

#include <boost/json/value.hpp>

namespace monsoondock::platform_standin {

void update_faults(faults& f, const boost::json::object& body)
{
    using ms = std::chrono::milliseconds;
    if (const auto* v = body.if_contains("down"))
        f.down_ = v->as_bool();
    if (const auto* v = body.if_contains("delay_ms"))
        f.delay_ = ms(v->to_number<std::uint32_t>());
    if (const auto* v = body.if_contains("lose_write_answers"))
        f.lose_write_answers_ = v->to_number<std::uint64_t>();
    if (const auto* v = body.if_contains("list_lag_ms"))
        f.list_lag_ = ms(v->to_number<std::uint32_t>());
}

} // namespace monsoondock::platform_standin
