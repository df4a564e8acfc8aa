#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace monsoondock::groups::test {

/// Faults and events that the simulation can inject.
enum class fault_kind
{
    crash_host,
    restart_host,
    pause_host,
    toggle_leaving,
    unlist_host,
    relist_all_hosts,
    pause_domain,
    pause_daemon,
    pause_leader,
    restart_daemon,
    partition_store,
    partition_peers,
    partition_store_and_peers,
    partition_host,
    store_outage,
    lose_write_responses,
    retire_group,
    change_demand,
    count
};


/// One injected fault. The target is taken modulo the number of hosts, daemons
/// or domains.
struct fault
{
    std::chrono::milliseconds at_;
    fault_kind kind_;
    std::size_t target_;
    std::chrono::milliseconds length_;
};

using fault_list = std::vector<fault>;


/// Returns the faults of a seed. Their rate differs between seeds.
fault_list make_faults(std::uint64_t seed, std::chrono::milliseconds end);


/// Returns one line for each fault.
std::string describe(const fault_list& faults);

} // namespace monsoondock::groups::test
