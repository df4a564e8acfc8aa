#include "message_codec.hpp"
#include "simulated_network.hpp"

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::membership;
using namespace std::chrono_literals;

namespace {

std::size_t count_in_state(const node& n, member_state state)
{
    std::size_t count = 0;
    for (const auto& [id, other] : n.members())
        count += other.record_.state_ == state;
    return count;
}


simulated_network make_joined_network(std::size_t hosts, std::uint64_t seed)
{
    simulated_network net(hosts, {}, seed);
    for (std::size_t i = 0; i < hosts; ++i)
        net.start(i);
    net.run(10s);
    return net;
}


const member_record&
view(simulated_network& net, std::size_t observer, std::size_t subject)
{
    return net.hosts_[observer].node_->members().at(net.name(subject)).record_;
}

} // namespace


Test(node, all_nodes_join_through_seeds)
{
    simulated_network net = make_joined_network(20, 1);
    for (const auto& host : net.hosts_)
        cr_assert(count_in_state(*host.node_, member_state::alive) == 19);
    cr_assert(view(net, 3, 12) == net.hosts_[12].node_->self());
}


Test(node, killed_member_is_declared_dead_and_rejoins)
{
    simulated_network net = make_joined_network(8, 2);
    net.kill(5);
    net.run(12s);
    cr_assert(view(net, 0, 5).state_ == member_state::dead);
    const incarnation before = view(net, 0, 5).incarnation_;
    net.start(5);
    net.run(5s);
    cr_assert(view(net, 0, 5).state_ == member_state::alive);
    cr_assert(view(net, 0, 5).incarnation_ > before);
}


Test(node, graceful_leave_propagates_without_suspicion)
{
    simulated_network net = make_joined_network(8, 3);
    net.perform(4, [](node& n, auto now) { return n.leave(now); });
    net.run(1s);
    for (std::size_t i = 0; i < 8; ++i) {
        if (i != 4)
            cr_assert(view(net, i, 4).state_ == member_state::leaving);
    }
    net.perform(4, [](node& n, auto now) { return n.depart(now); });
    net.kill(4);
    net.run(2s);
    cr_assert(view(net, 0, 4).state_ == member_state::dead);
}


// Guards against configurations that are in force late, as the status of those
// that have them takes several steps of gossip to each daemon.
Test(node, notified_peers_know_the_settings_revision_after_one_datagram)
{
    simulated_network net = make_joined_network(40, 6);
    net.perform(4, [](node& n, auto now) {
        // The datagrams that spread the revision are lost.
        n.set_status({.settings_revision_ = 7}, now);
        std::vector<endpoint> peers;
        for (std::size_t i = 10; i < 20; ++i)
            peers.push_back(simulated_network::address(i));
        return n.notify(peers, now);
    });
    net.run(10ms);
    for (std::size_t i = 10; i < 20; ++i)
        cr_expect_eq(view(net, i, 4).status_.settings_revision_, 7);
}


Test(node, settings_revision_and_drain_reach_all_nodes)
{
    simulated_network net = make_joined_network(32, 4);
    net.perform(7, [](node& n, auto now) {
        return n.set_status({0, 42, 100, entry_mode::draining}, now);
    });
    net.run(3s);
    for (std::size_t i = 0; i < 32; ++i) {
        cr_assert(net.hosts_[i].node_->highest_revision() == 42);
        if (i != 7) {
            const member_status& status = view(net, i, 7).status_;
            cr_assert(status.entry_mode_ == entry_mode::draining);
        }
    }
}


Test(node, load_updates_are_rate_limited)
{
    simulated_network net = make_joined_network(8, 5);
    const std::uint32_t before = net.hosts_[1].node_->self().status_.sequence_;
    for (std::uint16_t i = 0; i < 200; ++i) {
        net.perform(1, [&](node& n, auto now) {
            return n.set_status({0, 0, i, entry_mode::open}, now);
        });
        net.run(100ms);
    }
    cr_assert(net.hosts_[1].node_->self().status_.sequence_ - before <= 5);
    net.run(10s);
    cr_assert(view(net, 6, 1).status_.load_permille_ == 199);
}


Test(node, resumed_process_declares_no_member_dead)
{
    simulated_network net = make_joined_network(16, 6);
    std::size_t deaths = 0;
    net.observer_ = [&](std::size_t host, const member_event& event, auto) {
        const auto* const change = std::get_if<member_changed>(&event);
        const bool death =
            change && change->record_.state_ == member_state::dead;
        deaths += host == 2 && death;
    };
    net.pause(2);
    net.run(60s);
    net.resume(2);
    net.run(20s);
    cr_assert(deaths == 0);
    cr_assert(net.hosts_[2].node_->counters().pauses_ == 1);
    for (std::size_t i = 0; i < 16; ++i)
        cr_assert(
            count_in_state(*net.hosts_[i].node_, member_state::alive) == 15);
}


Test(node, malformed_datagram_is_counted_and_ignored)
{
    simulated_network net = make_joined_network(3, 7);
    node& target = *net.hosts_[0].node_;
    const member_table before = target.members();
    const std::string bodies[] = {
        "",
        "x",
        std::string(MAX_BODY_BYTES + 1, 'a'),
        std::string(500, '\xff')};
    for (const std::string& body : bodies)
        target.handle({net.address(1), body}, net.now());
    cr_assert(target.counters().datagrams_malformed_ == 4);
    cr_assert(target.members().size() == before.size());
}


Test(codec, truncated_or_extended_message_is_rejected)
{
    pvt::message m;
    m.sender_.id_ = {"a"};
    m.body_ = pvt::ping{7, {"b"}};
    m.records_.resize(2);
    m.rows_.resize(3);
    const std::string body = pvt::encode(m);
    cr_assert(pvt::decode(body).has_value());
    for (std::size_t size = 0; size < body.size(); ++size)
        cr_assert(!pvt::decode(body.substr(0, size)));
    cr_assert(!pvt::decode(body + "x"));
}


Test(codec, encoded_sizes_match)
{
    pvt::message m;
    const std::size_t empty = pvt::encode(m).size();
    member_record record;
    record.id_ = {"abc"};
    record.region_ = {"de"};
    m.records_.push_back(record);
    m.rows_.resize(1);
    const std::size_t full = pvt::encode(m).size();
    cr_assert(full - empty == pvt::encoded_size(record) + pvt::ROW_BYTES);
}


Test(endpoint, parses_and_formats_text)
{
    cr_assert(to_string(*parse_endpoint("127.0.0.1:8001")) == "127.0.0.1:8001");
    for (const char* text :
         {"",
          "1.2.3:4",
          "1.2.3.4",
          "1.2.3.4:0",
          "256.1.1.1:1",
          "1.2.3.4:65536",
          "1.2.3.4:5x",
          "-1.2.3.4:5"})
        cr_assert(!parse_endpoint(text));
}
