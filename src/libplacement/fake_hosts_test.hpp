#pragma once

#include <monsoondock/placement/planner.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace monsoondock::placement {

/// Engine hosts that carry out orders as their published rules say. Every rule
/// that an order breaks is counted.
class fake_hosts
{
public:
    explicit fake_hosts(catalog::engine engine);


    /// Adds an empty host.
    void add(const std::string& id, const std::string& domain);


    /// The host falls silent for good; its entry stays until unlist.
    void silence(const std::string& id);


    /// The host is back as a new process that holds its weights.
    void restart(const std::string& id);


    /// No order reaches the host, but it goes on as it was.
    void cut_off(const std::string& id);


    /// Orders reach the host again.
    void reconnect(const std::string& id);


    /// The entry of a host vanishes.
    void unlist(const std::string& id);


    /// The entry of a host lapses while it works on as it was.
    void lapse(const std::string& id);


    /// The entry of a host that lapsed is written again.
    void relist(const std::string& id);


    /// The host announces that it leaves.
    void drain(const std::string& id);


    /// Delivers this many of the next orders late and without an answer.
    void delay_orders(unsigned count, std::chrono::milliseconds delay);


    /// Lets time pass in steps, with the planner at work.
    void run(planner& p, std::chrono::milliseconds time);


    /// Lets time pass without any planner.
    void pass(std::chrono::milliseconds time);


    /// Returns the number of groups of a model that are whole and open, and
    /// whose hosts all live.
    unsigned open_groups(const std::string& model) const;

    planner_input input_;
    fleet::host_table hosts_;
    /// Joins that came while the head of the host's group was open.
    unsigned joins_of_open_groups_ = 0;
    /// Opens of a group whose members were not all ready.
    unsigned early_opens_ = 0;
    /// Orders and loads so far.
    unsigned orders_ = 0;
    unsigned loads_begun_ = 0;
    /// Answer of the next orders; the order is carried out all the same.
    unsigned lost_answers_ = 0;
    /// A host refuses to leave while it opens, as one that is busy does.
    bool refuses_leave_while_opening_ = false;
    /// The head is listed as ready the moment it is told to close, though it
    /// closes later, as an entry that is out of date shows it.
    bool lists_close_early_ = false;
    /// Time from the order to close until the head is ready.
    std::chrono::milliseconds close_time_{0};

    /// The planner is told that orders without an answer were accepted, which
    /// no caller of it may do.
    bool unanswered_passes_for_accepted_ = false;

private:
    struct late_order
    {
        order order_;
        base::time_point due_;
    };

    /// Something that a host does, done when no time is left.
    struct job
    {
        std::chrono::milliseconds left_{0};
        /// Model that is loaded, or empty.
        std::string load_;
        /// Group that the host joins, opens or closes; empty for a stage.
        fleet::group_key group_;
        fleet::group_phase becomes_ = fleet::group_phase::ready;
    };

    bool is_silent(const base::host_id& id) const;
    bool has_open_head(const base::host_id& id) const;
    const catalog::model& model_named(const std::string& name) const;
    order_outcome send(const order& o);
    order_outcome apply(const order& o);
    void deliver_late();
    order_outcome join(const order& o);
    order_outcome stage(const order& o);
    order_outcome open(const order& o);
    void finish(const base::host_id& id, const job& j);
    void advance();

    catalog::engine engine_;
    std::map<base::host_id, std::vector<job>> jobs_;
    std::map<base::host_id, std::uint64_t> seen_epochs_;
    std::map<base::host_id, std::string> last_models_;
    std::map<base::host_id, std::vector<base::host_id>> member_lists_;
    std::vector<late_order> late_;
    unsigned orders_to_delay_ = 0;
    std::chrono::milliseconds delay_{0};
    std::set<base::host_id> silent_;
    std::set<base::host_id> cut_off_;
    fleet::host_table lapsed_;
    /// Groups whose heads are open, listed or not.
    std::map<fleet::group_key, base::host_id> open_heads_;
};


/// Returns an engine with a large model of four hosts and a small one of two.
catalog::engine two_models();

} // namespace monsoondock::placement
