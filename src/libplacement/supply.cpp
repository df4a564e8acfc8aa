#include "supply.hpp"

#include <monsoondock/placement/shortage_cost.hpp>

#include <algorithm>

namespace monsoondock::placement::pvt {

namespace {

// Use of all hosts that is expected before any request was measured.
constexpr double expected_use = 0.5;


bool counts_as_capacity(const formation& f)
{
    return f.phase_ == formation_phase::joining ||
           f.phase_ == formation_phase::opening ||
           f.phase_ == formation_phase::serving;
}

} // namespace

double needed_by(const planning& p, const catalog::model& m)
{
    const auto measured = p.input_.needed_hosts_.find(m.name_);
    if (measured != p.input_.needed_hosts_.end())
        return measured->second;
    return m.expected_share_ * expected_use * double(p.hosts_.size());
}


double hosts_of(const planning& p, const std::string& model)
{
    double hosts = 0;
    for (const auto& [key, f] : p.s_.formations_) {
        if (f.model_ == model && counts_as_capacity(f))
            hosts += double(f.members_.size());
    }
    const catalog::model* m = find_model(p, model);
    for (const auto& d : p.s_.donations_) {
        if (d.model_ == model && m != nullptr)
            hosts += m->group_size_;
    }
    return hosts;
}


double gain(const planning& p, const catalog::model& m, double more)
{
    const double needed = needed_by(p, m);
    const double hosts = hosts_of(p, m.name_);
    return shortage_cost(needed, hosts) - shortage_cost(needed, hosts + more);
}


double seconds_left(const planning& p, std::chrono::milliseconds wait)
{
    // Times before traffic are a tenth and cost nothing.
    if (p.input_.before_traffic_)
        wait = std::chrono::milliseconds(0);
    return std::max(
        0.0,
        std::chrono::duration<double>(p.s_.config_.planning_horizon_ - wait)
            .count());
}

} // namespace monsoondock::placement::pvt
