#pragma once

#include <monsoondock/placement/planner.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace monsoondock::placement {

/// Simulated engine hosts that carry out orders by their published rules, and
/// count the orders that violate these.
class fake_hosts
{
public:
    explicit fake_hosts(catalog::engine engine);


    /// Adds a host that is in no group and holds no weights.
    void add(const std::string& id, const std::string& domain);


    /// Stops the host for good; its entry stays until remove_entry.
    void crash(const std::string& id);


    /// Restarts the host as a new process that keeps its staged weights.
    void restart(const std::string& id);


    /// Stops orders from reaching the host, which keeps running.
    void disconnect(const std::string& id);


    /// Lets orders reach the host again.
    void reconnect(const std::string& id);


    /// Removes the entry of a host from the list.
    void remove_entry(const std::string& id);


    /// Removes the entry of a host, which keeps running, until restore_entry.
    void expire_entry(const std::string& id);


    /// Restores the entry of a host after expire_entry.
    void restore_entry(const std::string& id);


    /// Lists the host as draining.
    void drain(const std::string& id);


    /// Delivers this many of the next orders after a delay and without an
    /// answer.
    void delay_orders(unsigned count, std::chrono::milliseconds delay);


    /// Advances the time in steps and runs the planner in each.
    void run(planner& p, std::chrono::milliseconds time);


    /// Advances the time without running a planner.
    void run_without_planner(std::chrono::milliseconds time);


    /// Returns the number of groups of a model that are complete and open, with
    /// all hosts running.
    unsigned open_groups(const std::string& model) const;

    planner_input input_;
    fleet::host_table hosts_;
    /// Joins that a host received while the head of its group was open.
    unsigned joins_while_open_ = 0;
    /// Open orders to groups whose members were not all ready.
    unsigned opens_before_ready_ = 0;
    /// Orders received and loads started so far.
    unsigned orders_ = 0;
    unsigned loads_started_ = 0;
    /// Number of next orders that are carried out but not answered.
    unsigned answers_to_drop_ = 0;
    /// Hosts refuse to leave while they open, as busy hosts do.
    bool refuse_leave_while_opening_ = false;
    /// The head is listed as ready as soon as it is ordered to close, although
    /// it is still closing, as in an entry that is out of date.
    bool list_closing_as_ready_ = false;
    /// Time from the close order until the head is ready.
    std::chrono::milliseconds close_time_{0};

    /// Fault: orders without an answer are reported to the planner as accepted,
    /// which a correct caller never does.
    bool report_unanswered_as_accepted_ = false;

private:
    struct delayed_order
    {
        order order_;
        base::time_point due_at_;
    };

    /// An activity of a host, which ends when no time remains.
    struct job
    {
        std::chrono::milliseconds remaining_{0};
        /// Model whose weights are loaded; empty for none.
        std::string model_to_load_;
        /// Group that the host joins, opens or closes; epoch 0 when staging.
        fleet::group_key group_;
        fleet::group_phase phase_when_done_ = fleet::group_phase::ready;
    };

    bool is_down(const base::host_id& id) const;
    bool has_open_head(const base::host_id& id) const;
    const catalog::model& find_model(const std::string& name) const;
    order_outcome send(const order& o);
    order_outcome apply(const order& o);
    void deliver_delayed_orders();
    order_outcome join(const order& o);
    order_outcome stage(const order& o);
    order_outcome open(const order& o);
    void finish(const base::host_id& id, const job& j);
    void advance();

    catalog::engine engine_;
    std::map<base::host_id, std::vector<job>> jobs_;
    std::map<base::host_id, std::uint64_t> last_epochs_;
    std::map<base::host_id, std::string> last_models_;
    std::map<base::host_id, std::vector<base::host_id>> member_lists_;
    std::vector<delayed_order> delayed_orders_;
    unsigned orders_to_delay_ = 0;
    std::chrono::milliseconds delay_{0};
    std::set<base::host_id> crashed_;
    std::set<base::host_id> disconnected_;
    fleet::host_table expired_entries_;
    /// Open heads by group, whether or not they are listed.
    std::map<fleet::group_key, base::host_id> open_heads_;
};


/// Returns an engine with a large model of four hosts and a small one of two.
catalog::engine two_models();

} // namespace monsoondock::placement
