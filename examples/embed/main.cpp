#include <monsoondock/membership/node.hpp>

#include <chrono>
#include <deque>
#include <iostream>
#include <map>

// Uses the membership library without a daemon: three nodes exchange datagrams
// in memory, driven by a simulated clock.

namespace {

namespace membership = monsoondock::membership;
namespace base = monsoondock::base;

using namespace std::chrono_literals;

constexpr std::uint16_t first_port = 7000;
constexpr int node_count = 3;
constexpr int step_count = 100;


membership::endpoint address_of(int index)
{
    constexpr std::uint32_t loopback = 0x7f000001;
    return {loopback, static_cast<std::uint16_t>(first_port + index)};
}


membership::member_record record_of(int index)
{
    membership::member_record record;
    record.id_.value_ = "node-" + std::to_string(index);
    record.data_centre_.value_ = "here";
    record.region_.value_ = "here";
    record.peer_ = address_of(index);
    record.caller_ = address_of(index);
    record.incarnation_ = membership::incarnation{1};
    return record;
}


struct sent_datagram
{
    membership::endpoint from_;
    membership::datagram datagram_;
};


void queue_all(
    std::deque<sent_datagram>& network,
    const membership::endpoint& from,
    const membership::node_output& output)
{
    for (const membership::datagram& d : output.datagrams_)
        network.push_back({from, d});
}

} // namespace

int main()
{
    std::map<membership::endpoint, membership::node> nodes;
    for (int i = 0; i < node_count; ++i) {
        nodes.emplace(
            address_of(i),
            membership::node(
                membership::node_config{},
                record_of(i),
                {address_of(0)},
                static_cast<std::uint64_t>(i)));
    }
    std::deque<sent_datagram> network;
    base::time_point now{1s};
    for (int step = 0; step < step_count; ++step) {
        now += 100ms;
        for (auto& [address, node] : nodes)
            queue_all(network, address, node.tick(now));
        while (!network.empty()) {
            sent_datagram sent = network.front();
            network.pop_front();
            const auto to = nodes.find(sent.datagram_.peer_);
            if (to == nodes.end())
                continue;
            sent.datagram_.peer_ = sent.from_;
            queue_all(
                network, to->first, to->second.handle(sent.datagram_, now));
        }
    }
    for (const auto& [address, node] : nodes)
        std::cout << node.self().id_ << " knows " << node.members().size()
                  << " others\n";
    return 0;
}
