#include "simulated_network.hpp"

#include <criterion/criterion.h>
#include <criterion/logging.h>

#include <map>

using namespace monsoondock;
using namespace monsoondock::membership;
using namespace std::chrono_literals;

namespace {

/// Result of one fault schedule.
struct schedule_result
{
    /// First violated invariant; empty when all held.
    std::string violation_;
    /// Time from the end of all faults until every view was correct.
    base::duration convergence_time_{};
};


/// Runs one random schedule of faults and checks the views of all nodes.
class fault_schedule
{
public:
    fault_schedule(
        std::size_t hosts, std::uint64_t seed, const safeguards& rules)
        : random_(seed), net_(hosts, make_config(rules), seed),
          observed_incarnations_(hosts), running_(hosts, true)
    {
        net_.observer_ = [this](auto host, const auto& event, auto) {
            check_incarnation(host, event);
        };
    }


    schedule_result run()
    {
        for (std::size_t i = 0; i < net_.hosts_.size(); ++i)
            net_.start(i);
        net_.run(5s);
        const std::size_t faults = 5 + random_below(15);
        for (std::size_t i = 0; i < faults; ++i) {
            inject_fault();
            net_.run(std::chrono::milliseconds(200 + random_below(12000)));
        }
        clear_faults();
        return await_convergence();
    }

private:
    static constexpr base::duration max_convergence_time = 60s;


    static node_config make_config(const safeguards& rules)
    {
        node_config config;
        config.safeguards_ = rules;
        return config;
    }


    std::size_t random_below(std::size_t limit)
    {
        std::uniform_int_distribution<std::size_t> any(0, limit - 1);
        return any(random_);
    }


    std::size_t random_host()
    {
        return random_below(net_.hosts_.size());
    }


    void inject_fault()
    {
        switch (random_below(9)) {
        case 0:
            net_.faults_ = {0.25, 0.25, 1ms, 900ms};
            break;
        case 1:
            net_.faults_ = {};
            break;
        case 2:
            for (auto& host : net_.hosts_)
                host.partition_ = static_cast<int>(random_below(2));
            break;
        case 3:
            for (auto& host : net_.hosts_)
                host.partition_ = 0;
            break;
        case 4:
            stop(random_host());
            break;
        case 5:
        case 6:
            restart(random_host());
            break;
        case 7:
            net_.pause(random_host());
            break;
        default:
            raise_revision(random_host());
            break;
        }
    }


    void stop(std::size_t host)
    {
        running_[host] = false;
        net_.kill(host);
    }


    void restart(std::size_t host)
    {
        net_.kill(host);
        observed_incarnations_[host].clear();
        running_[host] = true;
        net_.start(host);
    }


    void raise_revision(std::size_t host)
    {
        if (!running_[host] || net_.hosts_[host].paused_)
            return;
        const auto mode =
            random_below(2) == 0 ? entry_mode::open : entry_mode::draining;
        ++revision_;
        net_.perform(host, [&](node& n, auto now) {
            return n.set_status({0, revision_, 0, mode}, now);
        });
    }


    void clear_faults()
    {
        net_.faults_ = {};
        for (std::size_t i = 0; i < net_.hosts_.size(); ++i) {
            net_.hosts_[i].partition_ = 0;
            if (net_.hosts_[i].paused_)
                net_.resume(i);
        }
    }


    schedule_result await_convergence()
    {
        const base::time_point faults_cleared = net_.now();
        std::string incorrect_view = find_incorrect_view();
        while (!incorrect_view.empty() &&
               net_.now() - faults_cleared < max_convergence_time) {
            net_.run(500ms);
            incorrect_view = find_incorrect_view();
        }
        const base::duration convergence_time = net_.now() - faults_cleared;
        return {
            violation_.empty() ? incorrect_view : violation_, convergence_time};
    }


    /// Checks that the incarnation of a member never decreases in the view of
    /// an observer.
    void check_incarnation(std::size_t observer, const member_event& event)
    {
        const auto* const change = std::get_if<member_changed>(&event);
        if (change == nullptr)
            return;
        const member_record& record = change->record_;
        incarnation& known = observed_incarnations_[observer][record.id_];
        if (record.incarnation_ < known && violation_.empty())
            violation_ = "lower incarnation of " + record.id_.value_;
        known = record.incarnation_;
    }


    std::string find_incorrect_view()
    {
        for (std::size_t observer_index = 0;
             observer_index < net_.hosts_.size();
             ++observer_index) {
            for (std::size_t subject_index = 0;
                 subject_index < net_.hosts_.size();
                 ++subject_index) {
                if (observer_index != subject_index &&
                    running_[observer_index] &&
                    !view_is_correct(observer_index, subject_index))
                    return net_.name(observer_index).value_ +
                           " has an incorrect view of " +
                           net_.name(subject_index).value_;
            }
        }
        return {};
    }


    bool view_is_correct(std::size_t observer_index, std::size_t subject_index)
    {
        const node& observer = *net_.hosts_[observer_index].node_;
        const auto found = observer.members().find(net_.name(subject_index));
        if (!running_[subject_index])
            return found == observer.members().end() ||
                   found->second.record_.state_ == member_state::dead;
        if (found == observer.members().end())
            return false;
        const node& member = *net_.hosts_[subject_index].node_;
        return found->second.record_ == member.self() &&
               observer.highest_revision() == member.highest_revision();
    }


    std::mt19937_64 random_;
    simulated_network net_;
    std::vector<std::map<base::daemon_id, incarnation>> observed_incarnations_;
    std::vector<bool> running_;
    std::uint64_t revision_ = 0;
    std::string violation_;
};


void run_fault_schedules(std::size_t hosts, std::uint64_t seed_count)
{
    base::duration slowest{};
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        const schedule_result result = fault_schedule(hosts, seed, {}).run();
        cr_assert(
            result.violation_.empty(),
            "seed %lu: %s",
            static_cast<unsigned long>(seed),
            result.violation_.c_str());
        slowest = std::max(slowest, result.convergence_time_);
    }
    cr_log_info(
        "%zu hosts, %lu seeds: slowest convergence %.1f s",
        hosts,
        static_cast<unsigned long>(seed_count),
        std::chrono::duration<double>(slowest).count());
}


/// Returns the first seed whose schedule fails without the disabled rule, or
/// zero when none does.
std::uint64_t first_failing_seed(const safeguards& rules)
{
    constexpr std::uint64_t seed_count = 50;
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        const schedule_result result = fault_schedule(8, seed, rules).run();
        if (result.violation_.empty())
            continue;
        cr_log_info(
            "seed %lu: %s",
            static_cast<unsigned long>(seed),
            result.violation_.c_str());
        return seed;
    }
    return 0;
}


/// Returns how many members a node wrongly declares dead after a pause that
/// began while it suspected one of them.
std::size_t false_deaths_after_pause(const safeguards& rules)
{
    node_config config;
    config.safeguards_ = rules;
    simulated_network net(8, config, 11);
    for (std::size_t i = 0; i < 8; ++i)
        net.start(i);
    net.run(5s);
    net.hosts_[5].partition_ = 1;
    const auto suspects = [&] {
        const auto& members = net.hosts_[2].node_->members();
        const auto& known = members.at(net.name(5)).record_;
        return known.state_ == member_state::suspect;
    };
    while (!suspects())
        net.run(100ms);
    net.pause(2);
    net.hosts_[5].partition_ = 0;
    net.run(60s);
    std::size_t deaths = 0;
    net.observer_ = [&](std::size_t host, const member_event& event, auto) {
        const auto* const change = std::get_if<member_changed>(&event);
        deaths +=
            host == 2 && change && change->record_.state_ == member_state::dead;
    };
    net.hosts_[2].buffered_.clear();
    net.resume(2);
    net.run(10s);
    return deaths;
}

} // namespace


Test(exploration, views_converge_with_8_hosts)
{
    run_fault_schedules(8, 300);
}


Test(exploration, views_converge_with_32_hosts)
{
    run_fault_schedules(32, 40);
}


Test(exploration, detects_missing_refutation)
{
    safeguards rules;
    rules.refutes_ = false;
    cr_assert(first_failing_seed(rules) != 0);
}


Test(exploration, detects_ignored_incarnations)
{
    safeguards rules;
    rules.compares_incarnations_ = false;
    cr_assert(first_failing_seed(rules) != 0);
}


Test(exploration, pause_during_suspicion_causes_no_false_death)
{
    cr_assert(false_deaths_after_pause({}) == 0);
    safeguards rules;
    rules.detects_pauses_ = false;
    cr_assert(false_deaths_after_pause(rules) > 0);
}
