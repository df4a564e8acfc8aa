#include <monsoondock/hostpace/compare.hpp>

#include <algorithm>
#include <cmath>

namespace monsoondock::hostpace {

namespace {

double median_log_factor(const std::vector<pace_state*>& all)
{
    std::vector<double> factors;
    factors.reserve(all.size());
    for (const pace_state* s : all)
        factors.push_back(s->log_factor_);
    // Of two, the faster one is the median.
    const auto middle =
        factors.begin() + static_cast<long>((factors.size() - 1) / 2);
    std::nth_element(factors.begin(), middle, factors.end());
    return *middle;
}


double without_small_differences(double relative)
{
    const bool differs =
        relative > normal_factor || relative < 1 / normal_factor;
    return differs ? std::clamp(relative, min_factor, max_factor) : 1;
}

} // namespace

std::vector<pace_state*> compare(const std::vector<pace_state*>& all)
{
    std::vector<pace_state*> changed;
    if (all.empty())
        return changed;
    const double median = median_log_factor(all);
    for (pace_state* s : all) {
        s->relative_ =
            without_small_differences(std::exp2(s->log_factor_ - median));
        const bool slow = s->slow_ ? s->relative_ >= normal_factor
                                   : s->relative_ >= slow_factor;
        if (slow != s->slow_)
            changed.push_back(s);
        s->slow_ = slow;
    }
    return changed;
}

} // namespace monsoondock::hostpace
