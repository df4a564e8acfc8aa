#include <monsoondock/capacity/allocation.hpp>

#include <algorithm>

namespace monsoondock::capacity {

namespace {

// Expected saving of the next group, per host.
double saving_per_host(const allocation_request& request, std::size_t groups)
{
    const double probability = need_probability(request.forecast_, groups + 1);
    const double saved = probability * request.weights_.group_downtime_;
    const double idle =
        (1.0 - probability) * request.weights_.stranded_accelerators_;
    return (saved - idle) / static_cast<double>(request.hosts_per_group_);
}


// A request with its allocation so far.
struct pending_allocation
{
    const allocation_request* request_ = nullptr;
    allocation allocation_;
};


std::vector<pending_allocation> allocate_minimums(
    const std::vector<allocation_request>& requests, std::size_t& hosts_left)
{
    std::vector<pending_allocation> pending;
    pending.reserve(requests.size());
    for (const allocation_request& request : requests) {
        pending_allocation entry{
            &request, {request.deployment_, 0, allocation_reason::demand, 0}};
        while (entry.allocation_.groups_ < request.min_groups_ &&
               hosts_left >= request.hosts_per_group_) {
            ++entry.allocation_.groups_;
            hosts_left -= request.hosts_per_group_;
        }
        if (entry.allocation_.groups_ > 0)
            entry.allocation_.reason_ = allocation_reason::minimum;
        pending.push_back(std::move(entry));
    }
    return pending;
}


pending_allocation*
highest_saving(std::vector<pending_allocation>& pending, std::size_t hosts_left)
{
    pending_allocation* best = nullptr;
    double best_saving = 0;
    for (pending_allocation& entry : pending) {
        const allocation_request& request = *entry.request_;
        const double saving =
            saving_per_host(request, entry.allocation_.groups_);
        if (saving <= best_saving ||
            entry.allocation_.groups_ >= request.max_groups_ ||
            request.hosts_per_group_ > hosts_left)
            continue;
        best = &entry;
        best_saving = saving;
    }
    return best;
}


void allocate_by_saving(
    std::vector<pending_allocation>& pending, std::size_t& hosts_left)
{
    while (pending_allocation* entry = highest_saving(pending, hosts_left)) {
        ++entry->allocation_.groups_;
        hosts_left -= entry->request_->hosts_per_group_;
        entry->allocation_.reason_ = allocation_reason::demand;
    }
}


// Sets the reason of allocations limited by the maximum or the free hosts, not
// by the demand.
void set_limiting_reasons(
    std::vector<pending_allocation>& pending, std::size_t hosts_left)
{
    for (pending_allocation& entry : pending) {
        const allocation_request& request = *entry.request_;
        entry.allocation_.next_group_probability_ =
            need_probability(request.forecast_, entry.allocation_.groups_ + 1);
        if (saving_per_host(request, entry.allocation_.groups_) <= 0)
            continue;
        if (entry.allocation_.groups_ >= request.max_groups_)
            entry.allocation_.reason_ = allocation_reason::maximum;
        else if (request.hosts_per_group_ > hosts_left)
            entry.allocation_.reason_ = allocation_reason::hosts;
    }
}


// Records the start of a surplus and returns true once it has lasted for the
// scale-down delay.
bool surplus_delay_passed(
    const allocation_request& request,
    const domain_limits& limits,
    allocation_state& state,
    base::time_point now)
{
    const auto [since, inserted] =
        state.surplus_since_.try_emplace(request.deployment_, now);
    return now - since->second >= limits.scale_down_delay_;
}


// Retains surplus groups until the scale-down delay has passed, unless their
// hosts are allocated to another deployment.
void retain_surplus(
    std::vector<pending_allocation>& pending,
    std::size_t& hosts_left,
    const domain_limits& limits,
    allocation_state& state,
    base::time_point now)
{
    for (pending_allocation& entry : pending) {
        const allocation_request& request = *entry.request_;
        const std::size_t retained =
            std::min(request.current_groups_, request.max_groups_);
        if (entry.allocation_.groups_ >= retained) {
            state.surplus_since_.erase(request.deployment_);
            continue;
        }
        if (surplus_delay_passed(request, limits, state, now))
            continue;
        while (entry.allocation_.groups_ < retained &&
               hosts_left >= request.hosts_per_group_) {
            ++entry.allocation_.groups_;
            hosts_left -= request.hosts_per_group_;
            entry.allocation_.reason_ = allocation_reason::held;
        }
    }
}

} // namespace

std::vector<allocation> allocate(
    std::vector<allocation_request> requests,
    const domain_limits& limits,
    allocation_state& state,
    base::time_point now)
{
    std::sort(
        requests.begin(),
        requests.end(),
        [](const allocation_request& a, const allocation_request& b) {
            return a.deployment_ < b.deployment_;
        });
    std::size_t hosts_left = limits.hosts_;
    std::vector<pending_allocation> pending =
        allocate_minimums(requests, hosts_left);
    hosts_left -= std::min(hosts_left, limits.spare_hosts_);
    allocate_by_saving(pending, hosts_left);
    set_limiting_reasons(pending, hosts_left);
    retain_surplus(pending, hosts_left, limits, state, now);
    std::vector<allocation> result;
    result.reserve(pending.size());
    for (pending_allocation& entry : pending)
        result.push_back(std::move(entry.allocation_));
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
