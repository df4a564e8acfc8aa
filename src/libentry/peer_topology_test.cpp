#include "peer_topology.hpp"

#include <criterion/criterion.h>

#include <set>

using namespace monsoondock;
using namespace monsoondock::entry;
using membership::member_record;
using membership::member_state;
using membership::member_table;

namespace {

constexpr std::uint16_t small_capacity = 120;
constexpr std::uint16_t large_capacity = 500;


member_record make_record(unsigned data_centre, unsigned number)
{
    member_record r;
    r.id_ = {
        "d" + std::to_string(data_centre) + "-" + std::to_string(100 + number)};
    r.data_centre_ = {"dc" + std::to_string(data_centre)};
    r.peer_ = {data_centre * 1000 + number + 1, 7000};
    r.capacity_permille_ = small_capacity;
    return r;
}


/// Returns all daemons of a cluster. The last three of each data centre have
/// the most capacity.
std::vector<member_record>
make_cluster(unsigned data_centres, unsigned per_data_centre)
{
    std::vector<member_record> all;
    for (unsigned d = 0; d < data_centres; ++d) {
        for (unsigned n = 0; n < per_data_centre; ++n) {
            member_record r = make_record(d, n);
            if (n + 3 >= per_data_centre)
                r.capacity_permille_ = large_capacity;
            all.push_back(r);
        }
    }
    return all;
}


member_table
peers_of(const std::vector<member_record>& all, const member_record& self)
{
    member_table table;
    for (const member_record& r : all) {
        if (r.id_ != self.id_)
            table[r.id_] = {r, {}, {}};
    }
    return table;
}


/// Returns how many daemons receive a message of the first daemon, when each
/// relay forwards it to the daemons near it.
std::size_t reached(const std::vector<member_record>& all)
{
    const member_record& self = all.front();
    std::set<membership::endpoint> received;
    const auto route = pvt::route_to_all(peers_of(all, self), self);
    received.insert(route.direct_.begin(), route.direct_.end());
    for (const membership::endpoint& relay : route.relays_) {
        received.insert(relay);
        for (const member_record& r : all) {
            if (r.peer_ != relay)
                continue;
            const auto peers = pvt::nearby_peers(peers_of(all, r), r);
            received.insert(peers.begin(), peers.end());
        }
    }
    return received.size();
}

} // namespace

Test(peer_topology, small_cluster_sends_directly_to_all)
{
    const auto all = make_cluster(3, 3);
    const auto route =
        pvt::route_to_all(peers_of(all, all.front()), all.front());
    cr_assert_eq(route.direct_.size(), 8);
    cr_assert(route.relays_.empty());
}


Test(peer_topology, a_message_reaches_every_daemon_of_a_large_cluster)
{
    for (const auto& [data_centres, daemons] :
         {std::pair{3U, 21U}, std::pair{5U, 39U}, std::pair{15U, 31U}}) {
        const auto all = make_cluster(data_centres, daemons);
        cr_assert_eq(reached(all), all.size() - 1);
    }
}


Test(peer_topology, messages_of_one_daemon_do_not_grow_with_data_centres_size)
{
    const auto all = make_cluster(5, 94);
    const auto route =
        pvt::route_to_all(peers_of(all, all.front()), all.front());
    cr_assert_eq(route.direct_.size(), 93);
    cr_assert_eq(
        route.relays_.size(), std::size_t{4} * pvt::relays_per_data_centre);
}


Test(peer_topology, relays_are_the_largest_live_daemons)
{
    auto all = make_cluster(5, 39);
    auto table = peers_of(all, all.front());
    for (auto& [id, member] : table) {
        // The first large daemon of each data centre is suspected.
        if (id.value_.ends_with("-136"))
            member.record_.state_ = member_state::suspect;
    }
    const auto route = pvt::route_to_all(table, all.front());
    const std::set<membership::endpoint> relays(
        route.relays_.begin(), route.relays_.end());
    cr_assert_eq(relays.size(), 8);
    for (unsigned d = 1; d < 5; ++d) {
        cr_assert(relays.contains(all[d * 39 + 37].peer_));
        cr_assert(relays.contains(all[d * 39 + 38].peer_));
    }
}


Test(peer_topology, each_data_centre_agrees_on_its_first_daemon)
{
    const auto all = make_cluster(5, 39);
    for (const member_record& self : all) {
        const auto first =
            pvt::first_of_each_data_centre(peers_of(all, self), self);
        cr_assert_eq(first.size(), 5);
        for (unsigned d = 0; d < 5; ++d)
            cr_assert(first[d].id_ == all[d * 39 + 36].id_);
    }
}


Test(peer_topology, every_daemon_has_a_rank_of_its_own)
{
    const auto all = make_cluster(5, 39);
    std::set<std::size_t> ranks;
    for (const member_record& self : all)
        ranks.insert(pvt::precedence_rank(peers_of(all, self), self));
    cr_assert_eq(ranks.size(), all.size());
    const member_record& large = all[36];
    cr_assert_eq(pvt::precedence_rank(peers_of(all, large), large), 0);
    cr_assert_eq(pvt::data_centre_rank(peers_of(all, large), large), 0);
}
