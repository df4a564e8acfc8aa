#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/routing/dispatch_history.hpp>
#include <monsoondock/routing/group_view.hpp>
#include <monsoondock/routing/straggler_detector.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace monsoondock::routing {

/// Ways to choose among groups. The first three are baselines.
enum class routing_policy
{
    round_robin,
    random,
    least_connections,
    /// The less loaded of two groups drawn at random, by corrected load.
    two_choices,
    /// The group that is likely to hold the prefix, unless it is much more
    /// loaded than the better of two others; stragglers are left out.
    prefix_affinity
};


/// Weights of a choice, in load per slot.
struct routing_weights
{
    /// How much more load per slot the group of the prefix may have.
    double affinity_ = 0.3;
    /// How much more load per slot the own data centre may have.
    double locality_ = 0.5;
};


/// Why a group was chosen, for logs and explanations.
enum class choice_reason
{
    in_turn,
    drawn,
    fewest_connections,
    less_loaded,
    holds_prefix,
    /// The group of the prefix was too loaded.
    prefix_overflow
};


/// A chosen group.
struct group_choice
{
    std::size_t index_ = 0;
    choice_reason reason_ = choice_reason::drawn;
};


/// Chooses groups for the requests of one daemon.
class router
{
public:
    router(
        routing_policy policy,
        base::data_centre_id here,
        std::uint64_t seed,
        routing_weights weights = {},
        ejection_bounds bounds = {});


    /// Chooses among groups, all of them whole, for a request with the given
    /// prefix; the prefix may be empty. Returns nothing when there are none.
    std::optional<group_choice> choose(
        const std::string& prefix,
        const std::vector<group_view>& groups,
        base::time_point now);


    /// A request was sent to the group.
    void dispatched(const base::group_id& group, base::time_point now);


    /// A request sent to the group is over.
    void finished(const base::group_id& group, base::time_point now);


    /// Takes the mean time between tokens of one answer.
    void observe(
        const base::group_id& group,
        std::chrono::nanoseconds token_interval,
        base::time_point now);


    /// Returns the stragglers among a number of groups, to which nothing
    /// should be sent for now.
    std::set<base::group_id>
    ejected(std::size_t groups, base::time_point now) const
    {
        return stragglers_.ejected(groups, now);
    }


    /// Returns the load per slot, with the weight of distance, by which groups
    /// are compared.
    double cost(const group_view& group) const;

private:
    using positions = std::vector<std::size_t>;

    std::size_t draw(std::size_t count);
    group_choice choose_fewest(const std::vector<group_view>& groups);
    std::size_t better_of_two(
        const std::vector<group_view>& groups, const positions& usable);
    positions
    usable_groups(const std::vector<group_view>& groups, base::time_point now);
    group_choice choose_by_prefix(
        const std::string& prefix,
        const std::vector<group_view>& groups,
        const positions& usable);

    routing_policy policy_;
    base::data_centre_id here_;
    std::mt19937_64 random_;
    routing_weights weights_;
    dispatch_history history_;
    straggler_detector stragglers_;
    std::size_t turn_ = 0;
};


/// Returns the name of a policy as settings have it.
const char* to_string(routing_policy policy) noexcept;


/// Returns the name of a reason as logs have it.
const char* to_string(choice_reason reason) noexcept;

} // namespace monsoondock::routing
