#pragma once

#include <monsoondock/fleet/replica_group.hpp>
#include <monsoondock/placement/join_time.hpp>
#include <monsoondock/placement/planner.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace monsoondock::placement::pvt {

/// Stage of a group in the planner's hands.
enum class formation_phase
{
    /// Members have been told to join.
    joining,
    /// Every member is ready; the head has been told to open.
    opening,
    serving,
    /// The head finishes its requests, so that its hosts can leave or serve
    /// elsewhere.
    closing,
    /// Some member is lost; the head is told to leave at once.
    dissolving
};


/// One group that the planner forms, has formed or has found.
struct formation
{
    fleet::group_key key_;
    std::string model_;
    base::fabric_domain_id domain_;
    /// The head first.
    std::vector<base::host_id> members_;
    /// Start of each member's process when it was chosen.
    std::vector<std::int64_t> process_start_ms_;
    formation_phase phase_ = formation_phase::joining;
    base::time_point phase_start_;
    /// When a joining formation is given up.
    base::time_point give_up_;
    /// When each member, or the head, was last told the order of the phase.
    std::map<base::host_id, base::time_point> told_;
    /// An open was sent, so the head may open at any time.
    bool may_open_ = false;
};


/// Everything that a planner remembers.
struct planner_state
{
    base::deployment_id deployment_;
    planner_config config_;
    epoch_source epochs_;
    std::map<fleet::group_key, formation> formations_;
    /// Group that each host was last known to have left, or whose head was
    /// known to be closed. Entries that still show it are out of date.
    struct left_group
    {
        fleet::group_key key_;
        std::int64_t process_start_ms_ = 0;
    };
    std::map<base::host_id, left_group> left_;
    /// Model of each host's last group since the start of its process.
    struct last_group
    {
        std::int64_t process_start_ms_ = 0;
        std::string model_;
        /// When the process was first listed.
        base::time_point listed_at_;
    };
    std::map<base::host_id, last_group> last_models_;
    /// Orders whose outcome is not known yet.
    struct sent_order
    {
        order_kind kind_;
        base::host_id host_;
        std::int64_t process_start_ms_ = 0;
        fleet::group_key group_;
    };
    std::map<std::uint64_t, sent_order> sent_;
    std::uint64_t next_number_ = 1;
    /// What hosts were last told to load.
    struct staging
    {
        std::string model_;
        base::time_point told_at_;
    };
    std::map<base::host_id, staging> staging_;
    /// Groups that are being closed for a group of another model.
    struct pending_donation
    {
        base::fabric_domain_id domain_;
        std::string model_;
        base::time_point since_;
    };
    std::vector<pending_donation> donations_;
    /// Starts of loads from the weight store in the present window.
    std::deque<base::time_point> loads_;
    /// Hosts that were listed at the last step, and since when.
    std::size_t listed_ = 0;
    base::time_point listed_since_;
    bool settled_ = false;
};


using host_list = std::vector<const fleet::host_info*>;
using free_by_domain = std::map<base::fabric_domain_id, host_list>;


/// One step in the making.
struct planning
{
    planner_state& s_;
    const planner_input& input_;
    /// The listed hosts, without the groups that they have left.
    const fleet::host_table& hosts_;
    fleet::group_map groups_;
    std::vector<order> orders_;
};


/// Returns the listed host, or null.
const fleet::host_info* find_host(const planning& p, const base::host_id& id);


/// Returns true when the host is listed, reachable and not leaving.
bool is_usable(const planning& p, const base::host_id& id);


/// Returns the figures of a model, or null.
const catalog::model* find_model(const planning& p, const std::string& name);


/// Notes that a host is in a group no more, or that its head is closed.
void note_left(
    planner_state& s,
    const base::host_id& host,
    std::int64_t process_start_ms,
    const fleet::group_key& key);


/// Returns true when the host is known to be out of the group.
bool has_left(
    const planner_state& s,
    const base::host_id& host,
    std::int64_t process_start_ms,
    const fleet::group_key& key);


/// Adds an order to the step.
void send(planning& p, order o);


/// Adds an order of a formation, unless the host was told the same a short
/// time ago.
void tell(
    planning& p, formation& f, const base::host_id& host, order_kind kind);


/// Takes over groups that another planner formed.
void adopt_groups(planning& p);


/// Moves each formation to its next phase when the input calls for it.
void advance_formations(planning& p);


/// Moves a formation to another phase.
void set_phase(planning& p, formation& f, formation_phase phase);


/// Returns the usable hosts that belong to no formation, by domain.
free_by_domain free_hosts(const planning& p);


/// Forms new groups from free hosts, keeps hosts for groups that wait for
/// weights, and takes hosts from models that can spare them.
void form_groups(planning& p);


/// Has hosts load weights ahead of their use.
void stage_spares(planning& p);


/// Returns the number of hosts that load weights now.
std::size_t loads_under_way(const planning& p);


/// Returns true while a host loads weights that it was told to load.
bool is_loading(const planning& p, const base::host_id& id);


/// Tells a host to load the weights of a model.
void stage(planning& p, const fleet::host_info& host, const catalog::model& m);


/// Takes one load out of the limit. Returns false when it is used up.
bool take_load(planning& p);

} // namespace monsoondock::placement::pvt
