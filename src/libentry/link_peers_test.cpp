#include "link_peers.hpp"
#include "peer_topology.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

using namespace monsoondock;
using namespace monsoondock::entry;
using membership::entry_mode;
using membership::member_record;
using membership::member_table;

namespace {

member_record make_record(unsigned number, unsigned data_centre)
{
    member_record r;
    r.id_ = {"d" + std::to_string(100 + number)};
    r.data_centre_ = {"dc" + std::to_string(data_centre)};
    r.peer_ = {number + 1, 7000};
    r.capacity_permille_ = 250;
    return r;
}


/// Daemon 0 of data centre 0, which is self, and its peers.
struct installation
{
    installation(unsigned daemons, unsigned data_centres)
        : self_(make_record(0, 0))
    {
        for (unsigned i = 1; i < daemons; ++i) {
            const auto r = make_record(i, i % data_centres);
            peers_[r.id_] = {r, {}, {}};
        }
    }

    void set_mode(unsigned number, entry_mode mode)
    {
        peers_[{"d" + std::to_string(100 + number)}]
            .record_.status_.entry_mode_ = mode;
    }

    member_record self_;
    member_table peers_;
};


std::vector<membership::endpoint>
witnesses(const installation& i, const char* data_centre)
{
    std::mt19937_64 random(1);
    return pvt::choose_witnesses(i.peers_, i.self_, {data_centre}, random);
}


std::size_t
count_in(const std::vector<membership::endpoint>& peers, unsigned data_centre)
{
    return static_cast<std::size_t>(
        std::count_if(peers.begin(), peers.end(), [&](const auto& peer) {
            return (peer.address_ - 1) % 15 == data_centre;
        }));
}

} // namespace

Test(link_peers, all_daemons_of_a_small_installation_are_asked)
{
    cr_assert_eq(witnesses(installation(8, 3), "dc1").size(), 7);
}


// Guards against asking only daemons whose links are cut together.
Test(link_peers, daemons_of_several_data_centres_are_asked)
{
    const auto peers = witnesses(installation(466, 15), "dc4");
    cr_assert_eq(peers.size(), pvt::max_witnesses);
    cr_assert_geq(count_in(peers, 4), 4);
    cr_assert_geq(count_in(peers, 0), 3);
    cr_assert_leq(count_in(peers, 0), 10);
}


Test(link_peers, daemons_without_links_are_asked_last)
{
    installation i(466, 15);
    for (unsigned d = 1; d < 460; ++d)
        i.set_mode(d, entry_mode::detouring);
    const auto peers = witnesses(i, "dc4");
    const auto open =
        std::count_if(peers.begin(), peers.end(), [](const auto& peer) {
            return peer.address_ > 460;
        });
    cr_assert_eq(open, 6);
}


Test(link_peers, helpers_have_links_and_the_configuration_in_force)
{
    installation i(8, 3);
    i.set_mode(1, entry_mode::detouring);
    i.set_mode(2, entry_mode::draining);
    i.set_mode(3, entry_mode::detouring);
    i.peers_[{"d104"}].record_.status_.settings_revision_ = 7;
    const auto all = pvt::find_helpers(i.peers_, i.self_, 0);
    cr_assert_eq(all.helpers_.size(), 4);
    // Daemon 3 is of the data centre of self.
    cr_assert_eq(all.local_capacity_without_links_, 500);
    const auto newest = pvt::find_helpers(i.peers_, i.self_, 7);
    cr_assert_eq(newest.helpers_.size(), 1);
    cr_assert_eq(newest.helpers_[0].daemon_.value_, "d104");
    cr_assert_eq(newest.helpers_[0].address_.port(), 7001);
    cr_assert_eq(pvt::find_helpers(i.peers_, i.self_, 9).helpers_.size(), 4);
}


// Guards against a leader that cannot send orders to hosts.
Test(link_peers, daemons_without_links_lead_last)
{
    installation i(8, 3);
    cr_assert_eq(pvt::leadership_rank(i.peers_, i.self_), 0);
    i.self_.status_.entry_mode_ = entry_mode::detouring;
    cr_assert_eq(pvt::leadership_rank(i.peers_, i.self_), 7);
    for (unsigned d = 1; d < 8; ++d)
        i.set_mode(d, entry_mode::detouring);
    cr_assert_not(pvt::has_open_peer(i.peers_));
    cr_assert_eq(pvt::leadership_rank(i.peers_, i.self_), 0);
}


// Guards against two dozen daemons being asked about each host that one daemon
// cannot reach.
Test(link_peers, few_witnesses_are_asked_first)
{
    auto first = witnesses(installation(466, 15), "dc4");
    const auto later = pvt::take_later_witnesses(first);
    cr_assert_eq(first.size(), pvt::first_witnesses);
    cr_assert_eq(later.size(), pvt::max_witnesses - pvt::first_witnesses);
    cr_assert_geq(count_in(first, 4), 1);
    cr_assert_geq(count_in(first, 0), 1);
    cr_assert_leq(count_in(first, 4), 3);
    auto all = witnesses(installation(5, 3), "dc1");
    cr_assert(pvt::take_later_witnesses(all).empty());
    cr_assert_eq(all.size(), 4);
}
