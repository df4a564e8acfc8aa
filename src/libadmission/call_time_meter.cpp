#include <monsoondock/admission/call_time_meter.hpp>

#include <algorithm>

namespace monsoondock::admission {

void call_time_meter::add(milliseconds call)
{
    if (call.count() < 0)
        return;
    ++measurements_;
    // The first ones have equal weights.
    average_ += (call - average_) * std::max(weight, 1.0 / measurements_);
}


milliseconds call_time_meter::average() const
{
    return measurements_ < min_measurements ? milliseconds{0} : average_;
}

} // namespace monsoondock::admission
