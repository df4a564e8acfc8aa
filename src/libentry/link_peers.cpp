#include "link_peers.hpp"

#include "peer_topology.hpp"

#include <algorithm>

namespace monsoondock::entry::pvt {

namespace {

using membership::entry_mode;
using membership::member_record;
using membership::member_state;
using membership::member_table;

// Of the peers that are asked, this many are of the host's data centre and of
// the asking daemon's.
constexpr std::size_t witnesses_near_host = 4;
constexpr std::size_t witnesses_near_self = 3;


bool is_open(const member_record& r)
{
    return r.state_ == member_state::alive &&
           r.status_.entry_mode_ == entry_mode::open;
}


// Moves up to count records of a data centre from one list to another.
void take(
    std::vector<const member_record*>& from,
    std::vector<const member_record*>& to,
    std::size_t count,
    const base::data_centre_id& data_centre)
{
    for (auto r = from.begin(); r != from.end() && count > 0;) {
        if ((*r)->data_centre_ == data_centre) {
            to.push_back(*r);
            r = from.erase(r);
            --count;
        } else {
            ++r;
        }
    }
}

} // namespace

boost::asio::ip::tcp::endpoint detour_address(const membership::endpoint& peer)
{
    return {
        boost::asio::ip::address_v4(peer.address_),
        static_cast<std::uint16_t>(peer.port_ + 1)};
}


bool has_open_peer(const member_table& members)
{
    return std::any_of(members.begin(), members.end(), [](const auto& entry) {
        return is_open(entry.second.record_);
    });
}


std::vector<membership::endpoint> choose_witnesses(
    const member_table& members,
    const member_record& self,
    const base::data_centre_id& host_data_centre,
    std::mt19937_64& random)
{
    std::vector<const member_record*> live;
    for (const auto& [id, member] : members) {
        if (member.record_.state_ == member_state::alive)
            live.push_back(&member.record_);
    }
    std::shuffle(live.begin(), live.end(), random);
    std::stable_partition(live.begin(), live.end(), [](const auto* r) {
        return r->status_.entry_mode_ != entry_mode::detouring;
    });
    std::vector<const member_record*> chosen;
    take(live, chosen, witnesses_near_host, host_data_centre);
    take(live, chosen, witnesses_near_self, self.data_centre_);
    for (const member_record* r : live) {
        if (chosen.size() < max_witnesses || is_small_cluster(members))
            chosen.push_back(r);
    }
    std::vector<membership::endpoint> addresses;
    addresses.reserve(chosen.size());
    for (const member_record* r : chosen)
        addresses.push_back(r->peer_);
    return addresses;
}


std::vector<membership::endpoint>
take_later_witnesses(std::vector<membership::endpoint>& witnesses)
{
    const std::size_t stride =
        std::max<std::size_t>(witnesses.size() / first_witnesses, 1);
    std::vector<membership::endpoint> first;
    std::vector<membership::endpoint> later;
    for (std::size_t i = 0; i < witnesses.size(); ++i) {
        const bool is_first = i % stride == 0 && first.size() < first_witnesses;
        (is_first ? first : later).push_back(witnesses[i]);
    }
    witnesses = std::move(first);
    return later;
}


paths::helper_list find_helpers(
    const member_table& members,
    const member_record& self,
    std::uint64_t catalog_rank)
{
    paths::helper_list list;
    list.local_capacity_without_links_ = self.capacity_permille_;
    std::vector<paths::helper> behind;
    for (const auto& [id, member] : members) {
        const member_record& r = member.record_;
        if (r.state_ == member_state::alive &&
            r.status_.entry_mode_ == entry_mode::detouring &&
            r.data_centre_ == self.data_centre_)
            list.local_capacity_without_links_ += r.capacity_permille_;
        if (!is_open(r))
            continue;
        auto& rank = r.status_.settings_revision_ >= catalog_rank
                         ? list.helpers_
                         : behind;
        rank.push_back(
            {id,
             r.data_centre_,
             detour_address(r.peer_),
             std::max(1.0, double(r.capacity_permille_))});
    }
    if (list.helpers_.empty())
        list.helpers_ = std::move(behind);
    return list;
}

} // namespace monsoondock::entry::pvt
