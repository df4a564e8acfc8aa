#include <monsoondock/admission/workspace_shares.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace monsoondock::admission {

namespace {

// A workspace whose numbers have all decayed below this one is forgotten.
constexpr double negligible = 1e-4;
// Sums of the same numbers in another order differ by less than this part.
constexpr double rounding = 1e-9;


double decay(base::duration passed, std::chrono::milliseconds time_constant)
{
    return std::exp(
        -std::chrono::duration<double>(passed) /
        std::chrono::duration<double>(time_constant));
}


/// What one workspace asks for, for each unit of its weight.
struct demand
{
    double weight_ = 1;
    double asked_ = 0;
};


// Returns the share, for each unit of weight, with which the demands add up to
// the capacity; infinity when they all fit.
double share_level(std::vector<demand> demands, double capacity)
{
    std::sort(
        demands.begin(), demands.end(), [](const demand& a, const demand& b) {
            return a.asked_ / a.weight_ < b.asked_ / b.weight_;
        });
    double weights = 0;
    for (const demand& d : demands)
        weights += d.weight_;
    for (const demand& d : demands) {
        const double level = capacity / weights;
        if (d.asked_ / d.weight_ > level * (1 + rounding))
            return level;
        capacity -= d.asked_;
        weights -= d.weight_;
    }
    return std::numeric_limits<double>::infinity();
}

} // namespace

void workspace_shares::set_weight(const std::string& workspace, double weight)
{
    weights_[workspace] = weight;
}


void workspace_shares::record(
    const std::string& workspace, bool admitted, base::time_point now)
{
    std::erase_if(usage_, [&](const auto& entry) {
        return decayed(entry.second, now).asked_long_ < negligible;
    });
    usage& u = usage_[workspace];
    u = decayed(u, now);
    u.asked_ += 1;
    u.asked_long_ += 1;
    if (admitted) {
        u.got_ += 1;
        u.got_long_ += 1;
    }
}


bool workspace_shares::is_over_share(
    const std::string& workspace, base::time_point now) const
{
    const auto found = usage_.find(workspace);
    if (found == usage_.end())
        return false;
    usage all;
    std::vector<demand> demands;
    demands.reserve(usage_.size());
    for (const auto& [name, u] : usage_) {
        const usage current = decayed(u, now);
        demands.push_back({weight_of(name), current.asked_});
        all.got_ += current.got_;
        all.asked_long_ += current.asked_long_;
        all.got_long_ += current.got_long_;
    }
    const usage own = decayed(found->second, now);
    if (own.got_long_ * all.asked_long_ <
        min_served_ratio * all.got_long_ * own.asked_long_)
        return false;
    const double level = share_level(std::move(demands), all.got_);
    return own.got_ > level * weight_of(workspace);
}


workspace_shares::usage
workspace_shares::decayed(const usage& u, base::time_point now)
{
    const base::duration passed = now - u.updated_at_;
    const double fast = decay(passed, time_constant);
    const double slow = decay(passed, served_time_constant);
    return {
        u.asked_ * fast,
        u.got_ * fast,
        u.asked_long_ * slow,
        u.got_long_ * slow,
        now};
}


double workspace_shares::weight_of(const std::string& workspace) const
{
    const auto found = weights_.find(workspace);
    return found == weights_.end() ? 1 : found->second;
}

} // namespace monsoondock::admission
