#include <monsoondock/capacity/allocation.hpp>

#include <algorithm>

namespace monsoondock::capacity {

namespace {

// Expected saving of the next group for each host that it takes.
double saving_per_host(const contender& c, std::size_t groups)
{
    const double needed = chance_of_need(c.forecast_, groups + 1);
    const double saved = needed * c.weights_.group_downtime_;
    const double idle = (1.0 - needed) * c.weights_.stranded_accelerators_;
    return (saved - idle) / static_cast<double>(c.hosts_per_group_);
}


// A contender with what it has been given so far.
struct share
{
    const contender* contender_ = nullptr;
    allocation given_;
};


std::vector<share>
give_minimums(const std::vector<contender>& contenders, std::size_t& hosts_left)
{
    std::vector<share> shares;
    shares.reserve(contenders.size());
    for (const contender& c : contenders) {
        share s{&c, {c.deployment_, 0, allocation_reason::demand, 0}};
        while (s.given_.groups_ < c.min_groups_ &&
               hosts_left >= c.hosts_per_group_) {
            ++s.given_.groups_;
            hosts_left -= c.hosts_per_group_;
        }
        if (s.given_.groups_ > 0)
            s.given_.reason_ = allocation_reason::minimum;
        shares.push_back(std::move(s));
    }
    return shares;
}


share* most_saving(std::vector<share>& shares, std::size_t hosts_left)
{
    share* best = nullptr;
    double best_saving = 0;
    for (share& s : shares) {
        const contender& c = *s.contender_;
        const double saving = saving_per_host(c, s.given_.groups_);
        if (saving <= best_saving || s.given_.groups_ >= c.max_groups_ ||
            c.hosts_per_group_ > hosts_left)
            continue;
        best = &s;
        best_saving = saving;
    }
    return best;
}


void give_by_saving(std::vector<share>& shares, std::size_t& hosts_left)
{
    while (share* s = most_saving(shares, hosts_left)) {
        ++s->given_.groups_;
        hosts_left -= s->contender_->hosts_per_group_;
        s->given_.reason_ = allocation_reason::demand;
    }
}


// Says what keeps a share from growing, where that is not the demand.
void explain(std::vector<share>& shares, std::size_t hosts_left)
{
    for (share& s : shares) {
        const contender& c = *s.contender_;
        s.given_.chance_of_more_ =
            chance_of_need(c.forecast_, s.given_.groups_ + 1);
        if (saving_per_host(c, s.given_.groups_) <= 0)
            continue;
        if (s.given_.groups_ >= c.max_groups_)
            s.given_.reason_ = allocation_reason::maximum;
        else if (c.hosts_per_group_ > hosts_left)
            s.given_.reason_ = allocation_reason::hosts;
    }
}


// Returns true once a surplus has lasted for the delay.
bool may_shrink(
    const contender& c,
    const domain_bounds& bounds,
    allocation_memory& memory,
    base::time_point now)
{
    const auto [since, fresh] =
        memory.surplus_since_.try_emplace(c.deployment_, now);
    return now - since->second >= bounds.shrink_delay_;
}


// Leaves groups in place that are in surplus for a short time only, as far
// as their hosts are not given to another deployment.
void hold_surplus(
    std::vector<share>& shares,
    std::size_t& hosts_left,
    const domain_bounds& bounds,
    allocation_memory& memory,
    base::time_point now)
{
    for (share& s : shares) {
        const contender& c = *s.contender_;
        const std::size_t kept = std::min(c.current_groups_, c.max_groups_);
        if (s.given_.groups_ >= kept) {
            memory.surplus_since_.erase(c.deployment_);
            continue;
        }
        if (may_shrink(c, bounds, memory, now))
            continue;
        while (s.given_.groups_ < kept && hosts_left >= c.hosts_per_group_) {
            ++s.given_.groups_;
            hosts_left -= c.hosts_per_group_;
            s.given_.reason_ = allocation_reason::held;
        }
    }
}

} // namespace

std::vector<allocation> allocate(
    std::vector<contender> contenders,
    const domain_bounds& bounds,
    allocation_memory& memory,
    base::time_point now)
{
    std::sort(
        contenders.begin(),
        contenders.end(),
        [](const contender& a, const contender& b) {
            return a.deployment_ < b.deployment_;
        });
    std::size_t hosts_left = bounds.hosts_;
    std::vector<share> shares = give_minimums(contenders, hosts_left);
    hosts_left -= std::min(hosts_left, bounds.spare_hosts_);
    give_by_saving(shares, hosts_left);
    explain(shares, hosts_left);
    hold_surplus(shares, hosts_left, bounds, memory, now);
    std::vector<allocation> result;
    result.reserve(shares.size());
    for (share& s : shares)
        result.push_back(std::move(s.given_));
    return result;
}


const char* to_string(allocation_reason reason) noexcept
{
    switch (reason) {
    case allocation_reason::minimum:
        return "minimum";
    case allocation_reason::demand:
        return "demand";
    case allocation_reason::maximum:
        return "maximum";
    case allocation_reason::hosts:
        return "hosts";
    case allocation_reason::held:
        break;
    }
    return "held";
}

} // namespace monsoondock::capacity
