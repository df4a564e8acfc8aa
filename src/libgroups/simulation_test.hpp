#pragma once

#include "simulated_faults_test.hpp"

#include <monsoondock/groups/domain_control.hpp>
#include <monsoondock/groups/health_exchange.hpp>
#include <monsoondock/platform/memory_store.hpp>

#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <string>

namespace monsoondock::groups::test {

using std::chrono::milliseconds;

/// Safeguards of the group protocol that an exploration can disable to show
/// that it detects their absence.
struct safeguards
{
    /// The age of the evidence is checked before a dispatch.
    bool lease_check_ = true;
    /// Generations are compared by the daemons and by those engines that check
    /// them.
    bool fencing_ = true;
    /// A new leader waits until the previous lease has expired, and a leader
    /// stops when its own lease expires.
    bool term_wait_ = true;
    /// Hosts are released only when every lease has expired.
    bool release_wait_ = true;
    /// All groups of a domain are in a single store object.
    bool single_record_ = true;
};


/// Counts of events in a run, to show that it exercised the protocol.
struct coverage
{
    std::size_t accepted_ = 0;
    std::size_t refused_ = 0;
    std::size_t formed_ = 0;
    std::size_t released_ = 0;
    std::size_t terms_ = 0;
};


/// An order and the term of the leader that sent it.
struct sent_order
{
    host_order order_;
    std::uint64_t term_ = 0;
};


/// Model of the engine of one host.
struct engine
{
    base::host_id id_;
    std::size_t domain_ = 0;
    bool alive_ = true;
    base::time_point paused_until_;
    bool leaving_ = false;
    bool listed_ = true;
    bool checks_generation_ = true;
    base::group_id group_;
    base::generation generation_;
    /// Highest generation of a load order that it executed.
    base::generation highest_generation_;
    engine_phase phase_ = engine_phase::idle;
    base::time_point ready_at_;
    /// When it was last ready, by generation.
    std::map<base::generation, base::time_point> last_ready_;
    /// Orders received during a pause.
    std::vector<sent_order> queued_orders_;
    std::uint64_t highest_term_ = 0;
};


/// Model of one daemon: its state in memory and the faults that affect it.
struct daemon
{
    base::daemon_id id_;
    std::uint64_t incarnation_ = 1;
    base::time_point paused_until_;
    base::time_point store_partitioned_until_;
    base::time_point peers_partitioned_until_;
    std::map<std::size_t, base::time_point> hosts_partitioned_until_;
    evidence_table evidence_;
    contact_table contacts_;
    health_exchange exchange_;
    std::map<std::size_t, domain_control> controls_;
    std::map<std::size_t, domain_record> records_;
    std::map<std::size_t, platform::version> versions_;
    std::map<std::size_t, base::time_point> read_at_;
    std::vector<host_view> hosts_;
    /// When each host was last known to be ready in any generation; used only
    /// when fencing is disabled.
    std::map<base::host_id, base::time_point> last_alive_;
};


/// Simulation of two domains, three daemons and a store in simulated time.
class simulation
{
public:
    simulation(std::uint64_t seed, safeguards enabled);


    /// Runs with the given faults. Returns the first violated invariant, or
    /// nothing.
    std::optional<std::string> run(const fault_list& faults, milliseconds end);


    const coverage& reached() const
    {
        return coverage_;
    }

private:
    struct event
    {
        base::time_point at_;
        std::uint64_t sequence_;
        std::function<void()> action_;

        bool operator<(const event& other) const
        {
            return std::tie(other.at_, other.sequence_) <
                   std::tie(at_, sequence_);
        }
    };

    std::uint64_t random_below(std::uint64_t limit);
    bool chance(std::uint64_t percent);
    milliseconds random_delay(std::uint64_t longest_ms);
    void schedule(milliseconds wait, std::function<void()> action);
    void on_daemon(
        std::size_t d, milliseconds wait, std::function<void(daemon&)> action);
    void record_violation(const std::string& what);

    void apply(const fault& f);
    void apply_to_host(const fault& f);
    void apply_to_daemon(const fault& f);
    void apply_to_store(const fault& f);
    void pause_leader(std::size_t domain, base::time_point until);
    void restart(daemon& d);
    void retire_group(std::size_t domain);

    void tick(std::size_t d);
    void dispatch_to_all_groups(std::size_t d);
    void dispatch(std::size_t d, const group_view& view);
    void receive_dispatch(const group_view& view, base::time_point checked);
    void read_store(std::size_t d);
    void probe(std::size_t d, std::size_t host);
    void probe_observed_hosts(std::size_t d);
    void request_health(std::size_t d);
    health_reply make_reply(const daemon& peer, std::uint64_t stamp) const;
    void control(std::size_t d, std::size_t domain);
    void write(std::size_t d, std::size_t domain, const domain_record& next);
    void check_write(std::size_t domain, const domain_record& next);
    void send_order(std::size_t d, const sent_order& order);
    void execute_order(engine& e, const sent_order& sent);
    void advance_engines();

    std::size_t domain_count() const;
    std::string key(std::size_t domain) const;
    std::size_t host_index(const base::host_id& id) const;
    bool now_before(base::time_point until) const
    {
        return now_ < until;
    }
    std::vector<base::daemon_id> daemon_ids() const;
    group_view view_of(const daemon& d, const group_record& group) const;
    std::vector<host_view> hosts_of(const daemon& d, std::size_t domain) const;
    bool allows_dispatch(const daemon& d, const group_view& view) const;
    group_timing leader_timing() const;

    std::mt19937_64 random_;
    safeguards safeguards_;
    group_timing timing_;
    base::time_point now_;
    std::uint64_t event_count_ = 0;
    std::priority_queue<event> events_;
    std::vector<engine> engines_;
    std::vector<daemon> daemons_;
    platform::memory_store store_;
    base::time_point store_down_until_;
    std::size_t responses_to_lose_ = 0;
    std::size_t wanted_groups_ = 2;
    std::vector<host_view> listed_;
    std::map<std::size_t, domain_record> committed_;
    std::optional<std::string> violation_;
    coverage coverage_;
};

} // namespace monsoondock::groups::test
