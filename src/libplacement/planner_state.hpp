#pragma once

#include <monsoondock/fleet/replica_group.hpp>
#include <monsoondock/placement/join_time.hpp>
#include <monsoondock/placement/planner.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace monsoondock::placement::pvt {

/// Phase of a group, as seen by the planner.
enum class formation_phase
{
    /// The members have been ordered to join.
    joining,
    /// Every member is ready; the head has been ordered to open.
    opening,
    /// The head is open.
    serving,
    /// The head is finishing its requests, so that the hosts can leave or join
    /// other groups.
    closing,
    /// The head has closed or a member is lost; the members are ordered to
    /// leave.
    dissolving
};


/// One group that the planner has started to form or has adopted.
struct formation
{
    fleet::group_key key_;
    std::string model_;
    base::fabric_domain_id domain_;
    /// By rank, the head first.
    std::vector<base::host_id> members_;
    /// Start of each member's process at the time it was chosen, in
    /// milliseconds since 1970.
    std::vector<std::int64_t> process_start_ms_;
    formation_phase phase_ = formation_phase::joining;
    base::time_point phase_start_;
    /// When the formation is abandoned if it is still joining.
    base::time_point join_deadline_;
    /// When each member was last sent the order of the current phase.
    std::map<base::host_id, base::time_point> last_sent_;
    /// True when an open order was sent or may have been, so the head may open
    /// at any time.
    bool may_be_open_ = false;
};


/// State that a planner keeps between steps.
struct planner_state
{
    base::deployment_id deployment_;
    planner_config config_;
    epoch_source epochs_;
    std::map<fleet::group_key, formation> formations_;
    /// Group that each host has left most recently, or whose formation was
    /// abandoned. A listing that still shows the host in it is out of date.
    struct departure
    {
        fleet::group_key key_;
        std::int64_t process_start_ms_ = 0;
    };
    std::map<base::host_id, departure> departures_;
    /// Model of each host's last group since the start of its process.
    struct last_group
    {
        std::int64_t process_start_ms_ = 0;
        std::string model_;
        /// When the process was first listed.
        base::time_point first_listed_at_;
    };
    std::map<base::host_id, last_group> last_groups_;
    /// Orders whose outcome has not been reported yet, by number.
    struct pending_order
    {
        order_kind kind_;
        base::host_id host_;
        std::int64_t process_start_ms_ = 0;
        fleet::group_key group_;
    };
    std::map<std::uint64_t, pending_order> pending_orders_;
    std::uint64_t next_number_ = 1;
    /// Last stage order to each host.
    struct staging_order
    {
        std::string model_;
        base::time_point sent_at_;
    };
    std::map<base::host_id, staging_order> staging_orders_;
    /// Groups of a model that are waiting for the hosts of closing groups of
    /// other models.
    struct reassignment
    {
        base::fabric_domain_id domain_;
        std::string model_;
        base::time_point started_at_;
    };
    std::vector<reassignment> reassignments_;
    /// Start times of loads from the weight store within load_rate_window_.
    std::deque<base::time_point> recent_loads_;
    /// Number of hosts that were listed in the last step, and when it last
    /// changed.
    std::size_t listed_count_ = 0;
    base::time_point listed_count_since_;
    bool list_settled_ = false;
};


using host_list = std::vector<const fleet::host_info*>;
using free_by_domain = std::map<base::fabric_domain_id, host_list>;


/// Working data of one step of a planner.
struct planning_step
{
    planner_state& state_;
    const planner_input& input_;
    /// The listed hosts, with the role removed from those that have left their
    /// group.
    const fleet::host_table& hosts_;
    fleet::group_map groups_;
    std::vector<order> orders_;
};


/// Returns the host, or null when it is not listed.
const fleet::host_info*
find_host(const planning_step& step, const base::host_id& id);


/// Returns true when the host is listed in a data centre that is being
/// evacuated.
bool is_evacuated(const planning_step& step, const base::host_id& id);


/// Returns true when a member of the formation is.
bool is_evacuated(const planning_step& step, const formation& f);


/// Returns true when the host is listed, reachable, not draining and not in a
/// data centre that is being evacuated.
bool is_usable(const planning_step& step, const base::host_id& id);


/// Returns the model, or null when the engine has none of that name.
const catalog::model*
find_model(const planning_step& step, const std::string& name);


/// Records that a host has left a group, or that the group's formation was
/// abandoned.
void record_departure(
    planner_state& state,
    const base::host_id& host,
    std::int64_t process_start_ms,
    const fleet::group_key& key);


/// Returns true when record_departure was called for this process and group.
bool has_left(
    const planner_state& state,
    const base::host_id& host,
    std::int64_t process_start_ms,
    const fleet::group_key& key);


/// Adds an order to the result of the step.
void send(planning_step& step, order o);


/// Sends a host an order for its group, unless the same order was sent within
/// order_retry_interval_.
void send_group_order(
    planning_step& step,
    formation& f,
    const base::host_id& host,
    order_kind kind);


/// Adopts listed groups that another planner has formed.
void adopt_groups(planning_step& step);


/// Moves each formation to the next phase when its conditions are met.
void advance_formations(planning_step& step);


/// Moves a formation to another phase.
void set_phase(planning_step& step, formation& f, formation_phase phase);


/// Returns the usable hosts that are in no group, by domain.
free_by_domain free_hosts(const planning_step& step);


/// Removes domains whose free hosts should wait: for the hosts of a closing
/// group, or for hosts that are about to be listed.
void remove_waiting_domains(const planning_step& step, free_by_domain& free);


/// Forms groups from free hosts, starts the loads for groups that lack weights,
/// and reassigns hosts from models that need them less.
void form_groups(planning_step& step);


/// Orders hosts to load weights in advance of their use.
void prefetch_weights(planning_step& step);


/// Returns the number of hosts that are loading staged weights.
std::size_t loads_in_progress(const planning_step& step);


/// Returns true while a host is loading weights that it was ordered to stage.
bool is_loading(const planning_step& step, const base::host_id& id);


/// Orders a host to load the weights of a model.
void order_staging(
    planning_step& step, const fleet::host_info& host, const catalog::model& m);


/// Counts one load against the load rate limit. Returns false when the limit
/// is reached.
bool reserve_load(planning_step& step);

} // namespace monsoondock::placement::pvt
