#include "link_checks.hpp"

#include "control_plane.hpp"
#include "election.hpp"
#include "host_probes.hpp"
#include "link_peers.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/event_line.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace monsoondock::entry::pvt {

namespace asio = boost::asio;

namespace {

// Peers answer within the time of a probe and a round trip.
constexpr std::chrono::milliseconds answer_timeout{350};
// Peers that reach the host answer within this time.
constexpr std::chrono::milliseconds first_answer_time{60};
constexpr std::chrono::milliseconds test_period{250};
// The conclusion of a check holds for this time without another one.
constexpr std::chrono::milliseconds conclusion_validity{100};
// The leader probes a host twice and asks other daemons meanwhile.
constexpr std::chrono::milliseconds leader_verdict_time{650};
static_assert(
    probe_timeout + leader_verdict_time + answer_timeout <
    relay::max_loss_check_time);


std::set<base::host_id> listed_hosts(const control_plane& c)
{
    std::set<base::host_id> hosts;
    for (const auto& [id, host] : c.hosts_.hosts_)
        hosts.insert(id);
    return hosts;
}


void log_check(
    const control_plane& c, const base::host_id& host, const link_check& check)
{
    base::event_line("link_check")
        .field("host", host)
        .field("conclusion", to_string(check.conclusion_))
        .field("asked", check.evidence_.asked_)
        .field("answered", check.evidence_.answered_)
        .field("reached_by_peer", check.evidence_.reached_by_peer_)
        .field("missed_by_peer", check.evidence_.missed_by_peer_)
        .field("reached_other_host", check.evidence_.reached_other_host_)
        .field("elapsed", check.ended_at_ - check.began_)
        .field("daemon", c.config_.daemon_);
}


void publish_links(control_plane& c)
{
    auto view = std::make_shared<relay::link_view>();
    view->cut_hosts_ = c.links_.unusable_;
    if (!view->cut_hosts_.empty())
        view->helpers_ =
            find_helpers(c.node_.members(), c.node_.self(), catalog_rank(c));
    c.proxy_->publish_links(std::move(view));
}


void log_cut_off(const control_plane& c, bool cut_off, base::time_point now)
{
    base::event_line line(
        cut_off ? "upstreams_cut" : "upstreams_restored",
        base::severity::warning);
    line.field("daemon", c.config_.daemon_)
        .field("hosts", c.links_.unusable_.size())
        .field("listed", c.hosts_.hosts_.size());
    if (!cut_off)
        line.field("elapsed", now - c.links_.cut_off_since_);
}


void update_cut_off(
    control_plane& c,
    const std::set<base::host_id>& listed,
    base::time_point now)
{
    const bool cut_off = c.links_.table_.is_cut_off(listed, now);
    if (cut_off == c.links_.cut_off_)
        return;
    c.links_.cut_off_ = cut_off;
    log_cut_off(c, cut_off, now);
    if (cut_off)
        c.links_.cut_off_since_ = now;
    publish_status(c);
}


// Publishes the links to the traffic thread when they have changed, and while
// any is cut, since helpers come and go.
void update_links(control_plane& c)
{
    const base::time_point now = base::boot_clock::now();
    const auto listed = listed_hosts(c);
    auto unusable = c.links_.table_.unusable_hosts(listed, now);
    const bool changed = unusable != c.links_.unusable_;
    c.links_.unusable_ = std::move(unusable);
    if (changed || !c.links_.unusable_.empty())
        publish_links(c);
    update_cut_off(c, listed, now);
    // A daemon without links cannot send orders to hosts.
    if (c.links_.cut_off_ && c.leader_.leading_ &&
        has_open_peer(c.node_.members()))
        resign_leadership(c);
}


void end_check(
    control_plane& c,
    const base::host_id& host,
    link_check& check,
    paths::conclusion conclusion)
{
    if (check.conclusion_ != paths::conclusion::pending)
        return;
    check.conclusion_ = conclusion;
    check.ended_at_ = base::boot_clock::now();
    check.ended_.cancel();
    if (conclusion != paths::conclusion::reached)
        log_check(c, host, check);
    // Where nobody reaches any host, requests are refused without a try.
    if (conclusion == paths::conclusion::link_cut ||
        conclusion == paths::conclusion::unresolved) {
        c.links_.table_.record_cut(host, check.ended_at_);
        update_links(c);
    }
}


void try_to_conclude(
    control_plane& c,
    const base::host_id& host,
    link_check& check,
    bool time_is_over)
{
    // While links are known to be cut, a host that this daemon reaches says
    // nothing about the link to this one. Busy peers may not have answered.
    check.evidence_.reached_other_host_ =
        (check.evidence_.asked_ == 0 || !c.links_.table_.has_cut_links()) &&
        c.links_.table_.reached_other_since(host, check.began_);
    const auto conclusion = paths::conclude(check.evidence_, time_is_over);
    if (conclusion != paths::conclusion::pending)
        end_check(c, host, check, conclusion);
}


asio::awaitable<void> probe_again(
    control_plane& c, base::host_id host, std::shared_ptr<link_check> check)
{
    check->evidence_.reached_ = co_await probe(c, host, probe_cause::own);
    if (check->evidence_.reached_)
        try_to_conclude(c, host, *check, false);
}


std::vector<membership::endpoint>
find_witnesses(control_plane& c, const base::host_id& host)
{
    const auto found = c.hosts_.hosts_.find(host);
    if (found == c.hosts_.hosts_.end())
        return {};
    return choose_witnesses(
        c.node_.members(),
        c.node_.self(),
        found->second.data_centre_,
        c.random_);
}


void ask(
    control_plane& c,
    const base::host_id& host,
    const link_check& check,
    const std::vector<membership::endpoint>& peers)
{
    for (const membership::endpoint& peer : peers)
        send_to_peer(c, peer, host_query_message{check.number_, host});
}


// Asks some peers, and the others unless one of the first has reached the host,
// which settles the check. The leader's verdict concerns all daemons, so it
// asks all at once.
asio::awaitable<void> ask_peers(
    control_plane& c, base::host_id host, std::shared_ptr<link_check> check)
{
    auto peers = find_witnesses(c, host);
    check->evidence_.asked_ = peers.size();
    check->awaited_ = {peers.begin(), peers.end()};
    std::vector<membership::endpoint> later;
    if (!c.leader_.leading_)
        later = take_later_witnesses(peers);
    ask(c, host, *check, peers);
    co_await sleep_for(c, first_answer_time);
    if (check->conclusion_ != paths::conclusion::pending)
        co_return;
    // Where there are few to ask, a datagram may have been the only one lost.
    if (later.empty() && peers.size() <= first_witnesses)
        later = std::move(peers);
    ask(c, host, *check, later);
}


// While links are known to be cut, another one that fails is no news about its
// host.
bool may_ask_peers(control_plane& c)
{
    return c.leader_.leading_ || !c.links_.table_.has_cut_links() ||
           c.links_.asking_checks_.take(base::boot_clock::now()).count() == 0;
}


void ask_leader_to_check(control_plane& c, const base::host_id& head)
{
    const auto leader = c.node_.members().find(c.leader_.leader_);
    if (c.leader_.leading_)
        check_group(c, {head, {}});
    else if (leader != c.node_.members().end())
        send_to_peer(
            c, leader->second.record_.peer_, group_check_message{head});
}


bool awaits_leader(const control_plane& c)
{
    return !c.leader_.leading_ && !c.leader_.resigned_ &&
           c.node_.members().contains(c.leader_.leader_) &&
           base::boot_clock::now() - c.leader_.last_heartbeat_at_ <
               heartbeat_timeout;
}


asio::awaitable<void> run_check(
    control_plane& c, base::host_id host, std::shared_ptr<link_check> check)
{
    const bool reached = co_await probe(c, host, probe_cause::own);
    if (reached) {
        end_check(c, host, *check, paths::conclusion::reached);
        co_return;
    }
    // What the leader finds is told to all, which spares each of many daemons
    // its questions. It may be cut off too when other links are cut already.
    if (awaits_leader(c) && !c.links_.table_.has_cut_links()) {
        ask_leader_to_check(c, host);
        asio::steady_timer wait(c.context_, leader_verdict_time);
        check->verdict_wait_ = &wait;
        co_await wait.async_wait(base::await_tuple);
        check->verdict_wait_ = nullptr;
    }
    if (check->conclusion_ != paths::conclusion::pending)
        co_return;
    if (!may_ask_peers(c)) {
        end_check(c, host, *check, paths::conclusion::unresolved);
        co_return;
    }
    probe_others(c, host, check->began_);
    asio::co_spawn(c.context_, probe_again(c, host, check), asio::detached);
    co_await ask_peers(c, host, check);
    co_await sleep_for(c, answer_timeout - first_answer_time);
    if (check->conclusion_ == paths::conclusion::pending)
        try_to_conclude(c, host, *check, true);
}


// Ends the check that awaits the leader's verdict on a host, if there is one.
void take_verdict(
    control_plane& c, const base::host_id& host, paths::conclusion verdict)
{
    const auto found = c.links_.checks_.find(host);
    if (found == c.links_.checks_.end() ||
        found->second->verdict_wait_ == nullptr)
        return;
    found->second->verdict_wait_->cancel();
    end_check(c, host, *found->second, verdict);
}


// Returns the check of a host that is under way or has just ended, or starts
// one.
std::shared_ptr<link_check>
current_check(control_plane& c, const base::host_id& host)
{
    std::shared_ptr<link_check>& check = c.links_.checks_[host];
    const base::time_point now = base::boot_clock::now();
    if (check != nullptr && (check->conclusion_ == paths::conclusion::pending ||
                             now - check->ended_at_ < conclusion_validity))
        return check;
    check = std::make_shared<link_check>(c.context_);
    check->number_ = c.links_.next_number_++;
    check->began_ = now;
    asio::co_spawn(c.context_, run_check(c, host, check), asio::detached);
    return check;
}


void forget_old_checks(control_plane& c)
{
    std::erase_if(c.links_.checks_, [&](const auto& entry) {
        return entry.second->conclusion_ != paths::conclusion::pending &&
               !c.hosts_.hosts_.contains(entry.first);
    });
}


// Tests a link while others are cut. The leader finds out whether the host has
// failed; to other daemons, a link that fails then is cut as well.
asio::awaitable<void> test_link(control_plane& c, base::host_id host)
{
    if (c.leader_.leading_ && !c.links_.table_.is_cut(host)) {
        co_await check_link(c, host);
        co_return;
    }
    const bool reached = co_await probe(c, host, probe_cause::own);
    if (!reached && c.links_.table_.has_cut_links())
        c.links_.table_.record_cut(host, base::boot_clock::now());
}


void report_suspicion(
    control_plane& c, const upstream_suspected_message& suspicion)
{
    broadcast(c, suspicion);
    check_group(c, suspicion);
}

} // namespace

asio::awaitable<paths::conclusion>
check_link(control_plane& c, base::host_id host)
{
    if (c.links_.table_.is_cut(host))
        co_return paths::conclusion::link_cut;
    const auto check = current_check(c, host);
    if (check->conclusion_ == paths::conclusion::pending)
        co_await check->ended_.async_wait(base::await_tuple);
    co_return check->conclusion_;
}


asio::awaitable<void>
handle_unhealthy(control_plane& c, relay::unhealthy_report report)
{
    const upstream_suspected_message suspicion{
        report.host_, report.failed_address_};
    const bool group_failed =
        report.reason_ == relay::unhealthy_reason::group_failed;
    // While links are cut, most suspicions concern links rather than hosts.
    const bool reported =
        group_failed ||
        (report.others_respond_ && !c.links_.table_.has_cut_links() &&
         c.links_.unchecked_reports_.take(base::boot_clock::now()).count() ==
             0);
    if (reported)
        report_suspicion(c, suspicion);
    if (group_failed)
        co_return;
    ask_leader_to_check(c, report.host_);
    const paths::conclusion conclusion = co_await check_link(c, report.host_);
    const bool silent = report.reason_ == relay::unhealthy_reason::silent;
    const bool at_fault = conclusion == paths::conclusion::host_failed ||
                          (conclusion == paths::conclusion::reached && silent);
    if (at_fault && !reported)
        report_suspicion(c, suspicion);
    if (at_fault || conclusion == paths::conclusion::unresolved)
        co_return;
    c.proxy_->mark_healthy(report.host_);
    if (reported)
        broadcast(c, upstream_healthy_message{report.host_});
}


asio::awaitable<void>
handle_lost_connection(control_plane& c, base::host_id host)
{
    const paths::conclusion conclusion = co_await check_link(c, host);
    c.proxy_->resolve_losses(
        host,
        conclusion == paths::conclusion::link_cut ||
            conclusion == paths::conclusion::unresolved);
}


void handle_reached_host(control_plane& c, const base::host_id& host)
{
    take_verdict(c, host, paths::conclusion::link_cut);
}


void handle_unreachable_host(control_plane& c, const base::host_id& host)
{
    c.links_.table_.record_failed(host);
    take_verdict(c, host, paths::conclusion::host_failed);
}


void handle_finding(
    control_plane& c,
    const host_finding_message& m,
    const membership::endpoint& sender)
{
    for (auto& [host, check] : c.links_.checks_) {
        if (check->number_ != m.number_)
            continue;
        if (check->awaited_.erase(sender) > 0)
            add_finding(check->evidence_, m.finding_);
        if (check->conclusion_ == paths::conclusion::pending)
            try_to_conclude(c, host, *check, false);
        return;
    }
}


asio::awaitable<void> run_link_tests(control_plane& c)
{
    for (;;) {
        co_await sleep_for(c, test_period);
        forget_old_checks(c);
        const auto listed = listed_hosts(c);
        for (base::host_id& host :
             c.links_.table_.take_tests(listed, base::boot_clock::now()))
            asio::co_spawn(
                c.context_, test_link(c, std::move(host)), asio::detached);
        update_links(c);
    }
}

} // namespace monsoondock::entry::pvt
