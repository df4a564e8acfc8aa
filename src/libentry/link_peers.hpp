#pragma once

#include <monsoondock/membership/member.hpp>
#include <monsoondock/paths/helper.hpp>

#include <cstdint>
#include <random>
#include <vector>

namespace monsoondock::entry::pvt {

/// Number of peers that are asked about a host, so many that a cut which
/// concerns half of the daemons is not taken for a failure of the host. In a
/// small installation all are asked.
inline constexpr std::size_t max_witnesses = 24;

/// Number of daemons that are asked first in a large cluster.
inline constexpr std::size_t first_witnesses = 6;


/// Returns the address at which a daemon accepts requests that others pass on:
/// the port after that of its peer address.
boost::asio::ip::tcp::endpoint detour_address(const membership::endpoint& peer);


/// Returns true when a live peer accepts callers and has links to upstreams.
bool has_open_peer(const membership::member_table& members);


/// Chooses peers at random that are asked whether they reach a host: some of
/// the host's data centre, some of self's and others, since the links of a
/// whole data centre may be cut. Peers that are known to have no links are
/// chosen only when there are no others.
std::vector<membership::endpoint> choose_witnesses(
    const membership::member_table& members,
    const membership::member_record& self,
    const base::data_centre_id& host_data_centre,
    std::mt19937_64& random);


/// Leaves the witnesses that are asked first, spread over all that were chosen,
/// and returns the others.
std::vector<membership::endpoint>
take_later_witnesses(std::vector<membership::endpoint>& witnesses);


/// Returns the daemons that can serve requests for self. If some have a
/// configuration of at least the given rank, only those.
paths::helper_list find_helpers(
    const membership::member_table& members,
    const membership::member_record& self,
    std::uint64_t catalog_rank);

} // namespace monsoondock::entry::pvt
