#include <monsoondock/load/profile.hpp>

#include <algorithm>

namespace monsoondock::load {

namespace {

constexpr demand MIXED{1.0, 0.7, 0.2, 0.1};
constexpr demand MIXED_TWICE{2.0, 0.7, 0.2, 0.1};


profile steady()
{
    return {"steady", 0.7, 0.7, {{0.0, MIXED}}};
}


profile skewed()
{
    return {"skewed", 1.6, 1.6, {{0.0, MIXED}}};
}


profile overload()
{
    return {"overload-2x", 0.7, 0.7, {{0.0, MIXED_TWICE}}};
}


/// A day shift of two teams: demand rises at the start of the shift, falls at
/// noon, and ends in a peak of reports before the handover.
profile sabarmati_day_shift()
{
    return {
        "sabarmati-day-shift",
        1.0,
        0.8,
        {{0.00, {0.1, 0.8, 0.1, 0.1}},
         {0.08, {1.0, 0.6, 0.1, 0.3}},
         {0.45, {1.1, 0.6, 0.1, 0.3}},
         {0.50, {0.4, 0.7, 0.1, 0.2}},
         {0.55, {1.0, 0.6, 0.1, 0.3}},
         {0.80, {1.0, 0.4, 0.5, 0.1}},
         {0.97, {1.4, 0.2, 0.75, 0.05}},
         {1.00, {0.1, 0.8, 0.1, 0.1}}}};
}


/// Low demand at first, a burst of interactive requests at three times the base
/// rate in which the share of calls doubles, then more and more
/// reports.
profile resinas_market_day()
{
    return {
        "resinas-market-day",
        1.2,
        1.0,
        {{0.00, {0.4, 0.8, 0.1, 0.1}},
         {0.30, {0.5, 0.8, 0.1, 0.1}},
         {0.35, {3.0, 0.85, 0.0, 0.15}},
         {0.55, {3.0, 0.7, 0.0, 0.3}},
         {0.65, {0.8, 0.4, 0.4, 0.2}},
         {1.00, {0.4, 0.3, 0.6, 0.1}}}};
}


std::vector<profile> all_profiles()
{
    return {
        steady(),
        skewed(),
        sabarmati_day_shift(),
        resinas_market_day(),
        overload()};
}


demand
interpolate(const demand_point& a, const demand_point& b, double position)
{
    const double span = b.position_ - a.position_;
    const double t = (position - a.position_) / span;
    const auto lerp = [t](double x, double y) {
        return x + t * (y - x);
    };
    const demand& p = a.demand_;
    const demand& q = b.demand_;
    return {
        lerp(p.rate_, q.rate_),
        lerp(p.interactive_, q.interactive_),
        lerp(p.report_, q.report_),
        lerp(p.call_, q.call_)};
}

} // namespace

std::optional<profile> find_profile(std::string_view name)
{
    for (profile& p : all_profiles()) {
        if (p.name_ == name)
            return p;
    }
    return std::nullopt;
}


std::string profile_names()
{
    std::string names;
    for (const profile& p : all_profiles())
        names += (names.empty() ? "" : ", ") + p.name_;
    return names;
}


demand demand_at(const profile& p, double position)
{
    const auto next = std::find_if(
        p.points_.begin(), p.points_.end(), [&](const demand_point& d) {
            return d.position_ > position;
        });
    if (next == p.points_.begin())
        return next->demand_;
    if (next == p.points_.end())
        return p.points_.back().demand_;
    return interpolate(*std::prev(next), *next, position);
}


double peak_rate(const profile& p)
{
    double peak = 0.0;
    for (const demand_point& point : p.points_)
        peak = std::max(peak, point.demand_.rate_);
    return peak;
}

} // namespace monsoondock::load
