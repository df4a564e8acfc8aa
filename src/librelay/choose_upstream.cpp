#include <monsoondock/relay/availability.hpp>
#include <monsoondock/relay/choose_upstream.hpp>

#include <algorithm>
#include <cmath>

namespace monsoondock::relay {

namespace {

const upstream_state& state_of(const upstream_table& table, const upstream& u)
{
    static const upstream_state unknown;
    const upstream_state* state = table.find(u.host_);
    return state != nullptr ? *state : unknown;
}


bool is_unhealthy(const upstream_state& s, base::time_point now)
{
    return s.unhealthy_until_ > now;
}


double median_interval(
    const std::vector<upstream>& all,
    const upstream_table& table,
    const std::string& model)
{
    std::vector<double> known;
    for (const upstream& u : all) {
        const double ms = state_of(table, u).event_interval_ms_;
        if (u.model_ == model && ms > 0)
            known.push_back(ms);
    }
    if (known.empty())
        return 0;
    const auto middle = known.begin() + static_cast<long>(known.size() / 2);
    std::nth_element(known.begin(), middle, known.end());
    return *middle;
}


double cost(
    const upstream& u,
    const upstream_state& s,
    double median_ms,
    const choice_request& request,
    const choice_weights& weights)
{
    double result = double(total_load(s)) / std::max(1U, u.slots_);
    if (u.data_centre_ != request.local_data_centre_)
        result += weights.locality_;
    if (median_ms > 0 && s.event_interval_ms_ > 2 * median_ms)
        result += weights.slowness_ * (s.event_interval_ms_ / median_ms - 1);
    return result;
}


double learned_cost(
    const upstream& u,
    const upstream_state& s,
    const choice_request& request,
    const choice_weights& weights)
{
    const double limit = hostpace::limit(s.pace_, u.slots_, request.now_);
    const double load = double(total_load(s)) / limit;
    // Without the cost of an empty upstream of the expected pace, so that equal
    // upstreams cost the same as without learned capacity.
    double result =
        s.pace_.relative_ * (weights.service_ + load) - weights.service_;
    if (u.data_centre_ != request.local_data_centre_)
        result += weights.locality_;
    return result;
}


// Returns the number of requests that raise the cost of an upstream by one.
double capacity(
    const upstream& u, const upstream_state& s, const choice_request& request)
{
    if (!request.learned_capacity_)
        return std::max(1U, u.slots_);
    return hostpace::limit(s.pace_, u.slots_, request.now_) / s.pace_.relative_;
}

struct candidate
{
    std::size_t index_ = 0;
    /// Requests that raise the cost by one.
    double slots_ = 1;
    double cost_ = 0;
};


std::vector<candidate> list_candidates(
    const std::vector<upstream>& all,
    const upstream_table& table,
    const choice_request& request,
    const choice_weights& weights)
{
    constexpr double unhealthy_cost = 1000;
    const double median_ms = request.learned_capacity_
                                 ? 0
                                 : median_interval(all, table, request.model_);
    std::vector<candidate> result;
    for (std::size_t i = 0; i < all.size(); ++i) {
        const upstream& u = all[i];
        if (u.model_ != request.model_ || request.tried_.contains(u.host_))
            continue;
        const upstream_state& s = state_of(table, u);
        const double share = usable_share(s, request.now_);
        if (share <= 0)
            continue;
        double c = request.learned_capacity_
                       ? learned_cost(u, s, request, weights)
                       : cost(u, s, median_ms, request, weights);
        if (is_unhealthy(s, request.now_))
            c += unhealthy_cost;
        result.push_back({i, share * capacity(u, s, request), c});
    }
    std::stable_sort(
        result.begin(),
        result.end(),
        [](const candidate& a, const candidate& b) {
            return a.cost_ < b.cost_;
        });
    return result;
}


// Returns the common cost that the cheapest candidates reach when the requests
// are distributed among them. The candidates are sorted by cost.
double fill_level(const std::vector<candidate>& candidates, double requests)
{
    double slots = 0;
    double filled = requests;
    double level = 0;
    for (const candidate& c : candidates) {
        if (slots > 0 && c.cost_ >= level)
            break;
        slots += c.slots_;
        filled += c.slots_ * c.cost_;
        level = filled / slots;
    }
    return level;
}

} // namespace

std::optional<std::size_t> choose_upstream(
    const std::vector<upstream>& all,
    const upstream_table& table,
    const choice_request& request,
    const choice_weights& weights)
{
    const auto candidates = list_candidates(all, table, request, weights);
    if (candidates.empty())
        return std::nullopt;
    const double unreported = std::max(1.0, request.unreported_requests_);
    const double level = fill_level(candidates, unreported);
    double remaining = request.random_fraction_ * unreported;
    for (const candidate& c : candidates) {
        remaining -= c.slots_ * (level - c.cost_);
        if (remaining < 0)
            return c.index_;
    }
    return candidates.front().index_;
}


std::optional<long> max_free_slots(
    const std::vector<upstream>& all,
    const upstream_table& table,
    const std::string& model,
    const std::set<base::host_id>& excluded,
    base::time_point now)
{
    std::optional<long> most;
    for (const upstream& u : all) {
        const upstream_state& s = state_of(table, u);
        if (u.model_ != model || excluded.contains(u.host_) ||
            is_unhealthy(s, now) || usable_share(s, now) <= 0)
            continue;
        const long free_slots = long{u.slots_} - long{total_load(s)};
        most = std::max(most.value_or(free_slots), free_slots);
    }
    return most;
}


std::optional<long> max_free_slots_behind_cuts(
    const std::vector<upstream>& all,
    const upstream_table& table,
    const std::string& model)
{
    std::optional<long> most;
    for (const upstream& u : all) {
        const upstream_state& s = state_of(table, u);
        if (u.model_ != model || !s.link_cut_)
            continue;
        const long free_slots = long{u.slots_} - long{total_load(s)};
        most = std::max(most.value_or(free_slots), free_slots);
    }
    return most;
}

} // namespace monsoondock::relay
