#include <monsoondock/relay/arrival_meter.hpp>

#include <cmath>

namespace monsoondock::relay {

namespace {

using seconds = std::chrono::duration<double>;


double decayed(double weight, base::time_point from, base::time_point to)
{
    return weight *
           std::exp(-seconds(to - from) / arrival_meter::time_constant);
}

} // namespace

void arrival_meter::add(base::time_point now)
{
    weight_ = decayed(weight_, updated_at_, now) + 1;
    updated_at_ = now;
}


double arrival_meter::rate_per_second(base::time_point now) const
{
    return decayed(weight_, updated_at_, now) / seconds(time_constant).count();
}

} // namespace monsoondock::relay
