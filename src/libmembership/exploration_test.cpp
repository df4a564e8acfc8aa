#include "injected_network.hpp"

#include <criterion/criterion.h>
#include <criterion/logging.h>

#include <map>

using namespace monsoondock;
using namespace monsoondock::membership;
using namespace std::chrono_literals;

namespace {

/// What one schedule showed.
struct outcome
{
    /// Empty when all held; otherwise what did not.
    std::string violation_;
    /// From the end of all faults until every view was right.
    base::duration healing_{};
};


/// Runs one random schedule of faults and checks the views of all nodes.
class explorer
{
public:
    explorer(std::size_t hosts, std::uint64_t seed, const safeguards& rules)
        : random_(seed), net_(hosts, make_config(rules), seed), seen_(hosts),
          running_(hosts, true)
    {
        net_.observer_ = [this](auto host, const auto& event, auto) {
            note(host, event);
        };
    }


    outcome run()
    {
        for (std::size_t i = 0; i < net_.hosts_.size(); ++i)
            net_.start(i);
        net_.run(5s);
        const std::size_t faults = 5 + below(15);
        for (std::size_t i = 0; i < faults; ++i) {
            make_fault();
            net_.run(std::chrono::milliseconds(200 + below(12000)));
        }
        heal();
        return settle();
    }

private:
    static constexpr base::duration longest_healing = 60s;


    static node_config make_config(const safeguards& rules)
    {
        node_config config;
        config.safeguards_ = rules;
        return config;
    }


    std::size_t below(std::size_t limit)
    {
        std::uniform_int_distribution<std::size_t> any(0, limit - 1);
        return any(random_);
    }


    std::size_t any_host()
    {
        return below(net_.hosts_.size());
    }


    void make_fault()
    {
        switch (below(9)) {
        case 0:
            net_.faults_ = {0.25, 0.25, 1ms, 900ms};
            break;
        case 1:
            net_.faults_ = {};
            break;
        case 2:
            for (auto& host : net_.hosts_)
                host.side_ = static_cast<int>(below(2));
            break;
        case 3:
            for (auto& host : net_.hosts_)
                host.side_ = 0;
            break;
        case 4:
            stop(any_host());
            break;
        case 5:
        case 6:
            restart(any_host());
            break;
        case 7:
            net_.pause(any_host());
            break;
        default:
            raise_revision(any_host());
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
        seen_[host].clear();
        running_[host] = true;
        net_.start(host);
    }


    void raise_revision(std::size_t host)
    {
        if (!running_[host] || net_.hosts_[host].paused_)
            return;
        const auto mode =
            below(2) == 0 ? entry_mode::open : entry_mode::draining;
        ++revision_;
        net_.act(host, [&](node& n, auto now) {
            return n.set_status({0, revision_, 0, mode}, now);
        });
    }


    void heal()
    {
        net_.faults_ = {};
        for (std::size_t i = 0; i < net_.hosts_.size(); ++i) {
            net_.hosts_[i].side_ = 0;
            if (net_.hosts_[i].paused_)
                net_.resume(i);
        }
    }


    outcome settle()
    {
        const base::time_point healed = net_.now();
        std::string wrong = first_wrong_view();
        while (!wrong.empty() && net_.now() - healed < longest_healing) {
            net_.run(500ms);
            wrong = first_wrong_view();
        }
        const base::duration healing = net_.now() - healed;
        return {violation_.empty() ? wrong : violation_, healing};
    }


    /// Keeps the incarnations that an observer held and finds a lower one.
    void note(std::size_t observer, const member_event& event)
    {
        const auto* const change = std::get_if<member_changed>(&event);
        if (change == nullptr)
            return;
        const member_record& record = change->record_;
        incarnation& held = seen_[observer][record.id_];
        if (record.incarnation_ < held && violation_.empty())
            violation_ = "lower incarnation of " + record.id_.value_;
        held = record.incarnation_;
    }


    std::string first_wrong_view()
    {
        for (std::size_t by = 0; by < net_.hosts_.size(); ++by) {
            for (std::size_t of = 0; of < net_.hosts_.size(); ++of) {
                if (by != of && running_[by] && !is_right(by, of))
                    return net_.name(by).value_ + " is wrong about " +
                           net_.name(of).value_;
            }
        }
        return {};
    }


    bool is_right(std::size_t by, std::size_t of)
    {
        const node& observer = *net_.hosts_[by].node_;
        const auto found = observer.members().find(net_.name(of));
        if (!running_[of])
            return found == observer.members().end() ||
                   found->second.record_.state_ == member_state::dead;
        if (found == observer.members().end())
            return false;
        const node& member = *net_.hosts_[of].node_;
        return found->second.record_ == member.self() &&
               observer.highest_revision() == member.highest_revision();
    }


    std::mt19937_64 random_;
    injected_network net_;
    std::vector<std::map<base::daemon_id, incarnation>> seen_;
    std::vector<bool> running_;
    std::uint64_t revision_ = 0;
    std::string violation_;
};


void explore(std::size_t hosts, std::uint64_t seeds)
{
    base::duration longest{};
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const outcome o = explorer(hosts, seed, {}).run();
        cr_assert(
            o.violation_.empty(),
            "seed %lu: %s",
            static_cast<unsigned long>(seed),
            o.violation_.c_str());
        longest = std::max(longest, o.healing_);
    }
    cr_log_info(
        "%zu hosts, %lu seeds: longest healing %.1f s",
        hosts,
        static_cast<unsigned long>(seeds),
        std::chrono::duration<double>(longest).count());
}


/// Returns the first seed that notices the missing rule, or zero.
std::uint64_t seed_that_catches(const safeguards& rules)
{
    constexpr std::uint64_t seeds = 50;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const outcome o = explorer(8, seed, rules).run();
        if (o.violation_.empty())
            continue;
        cr_log_info(
            "seed %lu: %s",
            static_cast<unsigned long>(seed),
            o.violation_.c_str());
        return seed;
    }
    return 0;
}


/// Counts the members that a node wrongly declares dead after a pause that
/// began while it suspected one of them.
std::size_t deaths_after_pause(const safeguards& rules)
{
    node_config config;
    config.safeguards_ = rules;
    injected_network net(8, config, 11);
    for (std::size_t i = 0; i < 8; ++i)
        net.start(i);
    net.run(5s);
    net.hosts_[5].side_ = 1;
    const auto suspects = [&] {
        const auto& members = net.hosts_[2].node_->members();
        const auto& held = members.at(net.name(5)).record_;
        return held.state_ == member_state::suspect;
    };
    while (!suspects())
        net.run(100ms);
    net.pause(2);
    net.hosts_[5].side_ = 0;
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


Test(exploration, eight_hosts)
{
    explore(8, 300);
}


Test(exploration, thirty_two_hosts)
{
    explore(32, 40);
}


Test(exploration, notices_a_missing_refutation)
{
    safeguards rules;
    rules.refutes_ = false;
    cr_assert(seed_that_catches(rules) != 0);
}


Test(exploration, notices_ignored_incarnations)
{
    safeguards rules;
    rules.compares_incarnations_ = false;
    cr_assert(seed_that_catches(rules) != 0);
}


Test(exploration, a_pause_during_a_suspicion_kills_nobody)
{
    cr_assert(deaths_after_pause({}) == 0);
    safeguards rules;
    rules.notices_pauses_ = false;
    cr_assert(deaths_after_pause(rules) > 0);
}
