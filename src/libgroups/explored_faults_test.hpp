#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace monsoondock::groups::test {

/// What the exploration can do to the world.
enum class fault_kind
{
    kill_host,
    restart_host,
    pause_host,
    leave_host,
    unlist_host,
    relist_host,
    dark_domain,
    pause_daemon,
    pause_leader,
    restart_daemon,
    cut_store,
    cut_peers,
    cut_both,
    cut_host,
    store_outage,
    lose_answers,
    operator_retires,
    change_demand,
    count
};


/// One fault at one time. The target is taken modulo the number of hosts,
/// daemons or domains.
struct fault
{
    std::chrono::milliseconds at_;
    fault_kind kind_;
    std::size_t target_;
    std::chrono::milliseconds length_;
};

using fault_list = std::vector<fault>;


/// Returns the faults of a seed; their density differs between seeds.
fault_list make_faults(std::uint64_t seed, std::chrono::milliseconds end);


/// Returns one line for each fault.
std::string describe(const fault_list& faults);

} // namespace monsoondock::groups::test
