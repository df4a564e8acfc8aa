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

/// Load balancing policies. The first three serve as baselines in benchmarks.
enum class routing_policy
{
    round_robin,
    random,
    least_connections,
    /// The less loaded of two randomly chosen groups (power of two choices), by
    /// estimated load.
    two_choices,
    /// The group that is likely to have the prefix in its cache, unless it is
    /// much more loaded than the choice of two_choices. Stragglers are skipped.
    prefix_affinity
};


/// Load differences that the router accepts, in requests per slot.
struct routing_weights
{
    /// Additional load that the group of the prefix may have over the
    /// alternative.
    double affinity_ = 0.3;
    /// Additional load that a group in the own data centre may have over one in
    /// another data centre.
    double locality_ = 0.5;
};


/// Reason for the choice of a group, for logs and diagnostics.
enum class choice_reason
{
    /// Next group in round-robin order.
    in_turn,
    /// Chosen at random.
    drawn,
    fewest_connections,
    less_loaded,
    holds_prefix,
    /// The group that holds the prefix was overloaded.
    prefix_overflow
};


/// A chosen group, as an index into the candidates, with the reason.
struct group_choice
{
    std::size_t index_ = 0;
    choice_reason reason_ = choice_reason::drawn;
};


/// Load balancer that distributes the requests of one daemon over groups.
class router
{
public:
    router(
        routing_policy policy,
        base::data_centre_id own_data_centre,
        std::uint64_t seed,
        routing_weights weights = {},
        ejection_bounds bounds = {});


    /// Chooses one of the groups, all of which must be serving, for a request
    /// with the given prefix. The prefix may be empty. Returns nothing when
    /// groups is empty.
    std::optional<group_choice> choose(
        const std::string& prefix,
        const std::vector<group_view>& groups,
        base::time_point now);


    /// Records that a request was sent to the group.
    void dispatched(const base::group_id& group, base::time_point now);


    /// Records that a request sent to the group ended.
    void finished(const base::group_id& group, base::time_point now);


    /// Records the mean time between the tokens of one response.
    void observe(
        const base::group_id& group,
        std::chrono::nanoseconds token_interval,
        base::time_point now);


    /// Returns the stragglers to which no requests should be sent at present.
    /// groups is the total number of groups, a fraction of which may be
    /// ejected.
    std::set<base::group_id>
    ejected(std::size_t groups, base::time_point now) const
    {
        return stragglers_.ejected(groups, now);
    }


    /// Returns the cost by which groups are compared: the estimated load per
    /// slot, plus locality_ for a group in another data centre.
    double cost(const group_view& group) const;

private:
    using group_indices = std::vector<std::size_t>;

    std::size_t random_index(std::size_t count);
    group_choice
    choose_least_connections(const std::vector<group_view>& groups);
    std::size_t better_of_two(
        const std::vector<group_view>& groups, const group_indices& usable);
    group_indices
    usable_groups(const std::vector<group_view>& groups, base::time_point now);
    group_choice choose_by_prefix(
        const std::string& prefix,
        const std::vector<group_view>& groups,
        const group_indices& usable);

    routing_policy policy_;
    base::data_centre_id own_data_centre_;
    std::mt19937_64 random_;
    routing_weights weights_;
    dispatch_history history_;
    straggler_detector stragglers_;
    std::size_t next_group_ = 0;
};


/// Returns the name of a policy in settings.
const char* to_string(routing_policy policy) noexcept;


/// Returns the name of a reason in logs.
const char* to_string(choice_reason reason) noexcept;

} // namespace monsoondock::routing
