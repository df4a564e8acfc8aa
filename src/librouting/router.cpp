#include <monsoondock/base/rendezvous.hpp>
#include <monsoondock/routing/router.hpp>

#include <algorithm>

namespace monsoondock::routing {

router::router(
    routing_policy policy,
    base::data_centre_id own_data_centre,
    std::uint64_t seed,
    routing_weights weights,
    ejection_bounds bounds)
    : policy_(policy), own_data_centre_(std::move(own_data_centre)),
      random_(seed), weights_(weights), stragglers_(bounds)
{}


std::optional<group_choice> router::choose(
    const std::string& prefix,
    const std::vector<group_view>& groups,
    base::time_point now)
{
    if (groups.empty())
        return std::nullopt;
    switch (policy_) {
    case routing_policy::round_robin:
        return group_choice{
            next_group_++ % groups.size(), choice_reason::in_turn};
    case routing_policy::random:
        return group_choice{random_index(groups.size()), choice_reason::drawn};
    case routing_policy::least_connections:
        return choose_least_connections(groups);
    case routing_policy::two_choices:
        break;
    case routing_policy::prefix_affinity:
        return choose_by_prefix(prefix, groups, usable_groups(groups, now));
    }
    group_indices all;
    for (std::size_t i = 0; i < groups.size(); ++i)
        all.push_back(i);
    return group_choice{better_of_two(groups, all), choice_reason::less_loaded};
}


void router::dispatched(const base::group_id& group, base::time_point now)
{
    history_.dispatched(group, now);
}


void router::finished(const base::group_id& group, base::time_point now)
{
    history_.finished(group, now);
}


void router::observe(
    const base::group_id& group,
    std::chrono::nanoseconds token_interval,
    base::time_point now)
{
    stragglers_.observe(group, token_interval, now);
}


double router::cost(const group_view& group) const
{
    const double load = history_.estimate_load(group);
    const double slots = std::max(group.slots_, 1U);
    const double distance =
        group.data_centre_ == own_data_centre_ ? 0 : weights_.locality_;
    return load / slots + distance;
}


std::size_t router::random_index(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
}


// Starts at a random index, so that ties do not always favour the first group.
group_choice
router::choose_least_connections(const std::vector<group_view>& groups)
{
    const std::size_t start = random_index(groups.size());
    std::size_t best = start;
    for (std::size_t step = 1; step < groups.size(); ++step) {
        const std::size_t i = (start + step) % groups.size();
        if (history_.in_flight(groups[i].group_) <
            history_.in_flight(groups[best].group_))
            best = i;
    }
    return {best, choice_reason::fewest_connections};
}


std::size_t router::better_of_two(
    const std::vector<group_view>& groups, const group_indices& usable)
{
    const std::size_t a = usable[random_index(usable.size())];
    const std::size_t b = usable[random_index(usable.size())];
    return cost(groups[a]) <= cost(groups[b]) ? a : b;
}


router::group_indices router::usable_groups(
    const std::vector<group_view>& groups, base::time_point now)
{
    const auto ejected = stragglers_.ejected(groups.size(), now);
    group_indices usable;
    for (std::size_t i = 0; i < groups.size(); ++i)
        if (!ejected.contains(groups[i].group_))
            usable.push_back(i);
    if (!usable.empty())
        return usable;
    for (std::size_t i = 0; i < groups.size(); ++i)
        usable.push_back(i);
    return usable;
}


group_choice router::choose_by_prefix(
    const std::string& prefix,
    const std::vector<group_view>& groups,
    const group_indices& usable)
{
    const std::size_t alternative = better_of_two(groups, usable);
    if (prefix.empty())
        return {alternative, choice_reason::less_loaded};
    std::vector<std::string> names;
    names.reserve(usable.size());
    for (const std::size_t i : usable)
        names.push_back(groups[i].group_.value_);
    const std::size_t preferred =
        usable[base::rendezvous_order(prefix, names, 1).front()];
    const double excess = cost(groups[preferred]) - cost(groups[alternative]);
    if (excess <= weights_.affinity_)
        return {preferred, choice_reason::holds_prefix};
    return {alternative, choice_reason::prefix_overflow};
}


const char* to_string(routing_policy policy) noexcept
{
    switch (policy) {
    case routing_policy::round_robin:
        return "round_robin";
    case routing_policy::random:
        return "random";
    case routing_policy::least_connections:
        return "least_connections";
    case routing_policy::two_choices:
        return "two_choices";
    case routing_policy::prefix_affinity:
        return "prefix_affinity";
    }
    return "";
}


const char* to_string(choice_reason reason) noexcept
{
    switch (reason) {
    case choice_reason::in_turn:
        return "in_turn";
    case choice_reason::drawn:
        return "drawn";
    case choice_reason::fewest_connections:
        return "fewest_connections";
    case choice_reason::less_loaded:
        return "less_loaded";
    case choice_reason::holds_prefix:
        return "holds_prefix";
    case choice_reason::prefix_overflow:
        return "prefix_overflow";
    }
    return "";
}

} // namespace monsoondock::routing
