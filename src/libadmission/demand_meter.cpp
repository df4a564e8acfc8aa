#include <monsoondock/admission/demand_meter.hpp>

#include <cmath>

namespace monsoondock::admission {

void demand_meter::add(
    unsigned priority, bool refused_first, base::time_point now)
{
    const double factor = decay_to(now);
    for (auto& [p, requests] : by_priority_)
        requests *= factor;
    all_ = all_ * factor + 1;
    refused_first_ = refused_first_ * factor + (refused_first ? 1 : 0);
    by_priority_[priority] += 1;
    updated_at_ = now;
}


urgent_load demand_meter::load(
    unsigned priority,
    double completions_per_second,
    unsigned daemons,
    base::time_point now) const
{
    if (completions_per_second <= 0)
        return {};
    const double scale = decay_to(now) * daemons /
                         (std::chrono::duration<double>(time_constant).count() *
                          completions_per_second);
    urgent_load result;
    for (const auto& [p, requests] : by_priority_) {
        const double load = requests * scale;
        result.above_ += p < priority ? load : 0;
        result.up_to_ += p <= priority ? load : 0;
        result.total_ += load;
    }
    return result;
}


double demand_meter::refused_first_share() const
{
    return all_ > 0 ? refused_first_ / all_ : 0;
}


double demand_meter::decay_to(base::time_point now) const
{
    return std::exp(
        -std::chrono::duration<double>(now - updated_at_) /
        std::chrono::duration<double>(time_constant));
}

} // namespace monsoondock::admission
