#include <monsoondock/relay/arrival_meter.hpp>

#include <cmath>

namespace monsoondock::relay {

namespace {

using seconds = std::chrono::duration<double>;


double faded(double weight, base::time_point from, base::time_point to)
{
    return weight * std::exp(-seconds(to - from) / arrival_meter::memory);
}

} // namespace

void arrival_meter::add(base::time_point now)
{
    weight_ = faded(weight_, at_, now) + 1;
    at_ = now;
}


double arrival_meter::a_second(base::time_point now) const
{
    return faded(weight_, at_, now) / seconds(memory).count();
}

} // namespace monsoondock::relay
