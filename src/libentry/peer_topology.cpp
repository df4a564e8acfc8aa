#include "peer_topology.hpp"

#include <algorithm>
#include <map>

namespace monsoondock::entry::pvt {

namespace {

using membership::member_record;
using membership::member_state;
using membership::member_table;


template <class Predicate>
std::size_t count_live_predecessors(
    const member_table& members,
    const member_record& self,
    const Predicate& in_scope)
{
    std::size_t count = 0;
    for (const auto& [id, member] : members) {
        const member_record& r = member.record_;
        count += r.state_ == member_state::alive && in_scope(r) &&
                 takes_precedence(r, self);
    }
    return count;
}


// Returns the live peers by precedence.
std::vector<const member_record*>
live_by_precedence(const member_table& members)
{
    std::vector<const member_record*> live;
    for (const auto& [id, member] : members) {
        if (member.record_.state_ == member_state::alive)
            live.push_back(&member.record_);
    }
    std::sort(live.begin(), live.end(), [](const auto* a, const auto* b) {
        return takes_precedence(*a, *b);
    });
    return live;
}

} // namespace

bool takes_precedence(const member_record& a, const member_record& b)
{
    if (a.capacity_permille_ != b.capacity_permille_)
        return a.capacity_permille_ > b.capacity_permille_;
    return a.id_ < b.id_;
}


std::size_t
precedence_rank(const member_table& members, const member_record& self)
{
    return count_live_predecessors(
        members, self, [](const member_record&) { return true; });
}


std::size_t
data_centre_rank(const member_table& members, const member_record& self)
{
    return count_live_predecessors(
        members, self, [&self](const member_record& r) {
            return r.data_centre_ == self.data_centre_;
        });
}


std::size_t
leadership_rank(const member_table& members, const member_record& self)
{
    const auto has_links = [](const member_record& r) {
        return r.status_.entry_mode_ != membership::entry_mode::detouring;
    };
    std::size_t count = 0;
    for (const auto& [id, member] : members) {
        const member_record& r = member.record_;
        const bool precedes = has_links(r) == has_links(self)
                                  ? takes_precedence(r, self)
                                  : has_links(r);
        count += r.state_ == member_state::alive && precedes;
    }
    return count;
}


bool is_small_cluster(const member_table& members)
{
    std::size_t count = 1;
    for (const auto& [id, member] : members)
        count += member.record_.state_ != member_state::dead;
    return count <= max_direct_peers;
}


std::vector<membership::endpoint>
nearby_peers(const member_table& members, const member_record& self)
{
    const bool small = is_small_cluster(members);
    std::vector<membership::endpoint> peers;
    for (const auto& [id, member] : members) {
        const member_record& r = member.record_;
        if (r.state_ != member_state::dead &&
            (small || r.data_centre_ == self.data_centre_))
            peers.push_back(r.peer_);
    }
    return peers;
}


message_route
route_to_all(const member_table& members, const member_record& self)
{
    message_route route{nearby_peers(members, self), {}};
    if (is_small_cluster(members))
        return route;
    std::map<base::data_centre_id, std::size_t> chosen;
    for (const member_record* r : live_by_precedence(members)) {
        if (r->data_centre_ != self.data_centre_ &&
            chosen[r->data_centre_]++ < relays_per_data_centre)
            route.relays_.push_back(r->peer_);
    }
    return route;
}


std::vector<member_record> first_of_each_data_centre(
    const member_table& members, const member_record& self)
{
    std::map<base::data_centre_id, member_record> first;
    first[self.data_centre_] = self;
    for (const auto& [id, member] : members) {
        const member_record& r = member.record_;
        if (r.state_ != member_state::alive)
            continue;
        const auto [entry, inserted] = first.try_emplace(r.data_centre_, r);
        if (!inserted && takes_precedence(r, entry->second))
            entry->second = r;
    }
    std::vector<member_record> result;
    result.reserve(first.size());
    for (auto& [data_centre, record] : first)
        result.push_back(std::move(record));
    return result;
}


std::vector<member_record>
first_by_precedence(const member_table& members, std::size_t count)
{
    std::vector<member_record> result;
    for (const member_record* r : live_by_precedence(members)) {
        if (result.size() == count)
            break;
        result.push_back(*r);
    }
    return result;
}

} // namespace monsoondock::entry::pvt
