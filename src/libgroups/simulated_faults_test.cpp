#include "simulated_faults_test.hpp"

#include <array>
#include <random>
#include <sstream>

namespace monsoondock::groups::test {

namespace {

constexpr std::array<const char*, static_cast<std::size_t>(fault_kind::count)>
    fault_names{
        "crash_host",
        "restart_host",
        "pause_host",
        "toggle_leaving",
        "unlist_host",
        "relist_all_hosts",
        "pause_domain",
        "pause_daemon",
        "pause_leader",
        "restart_daemon",
        "partition_store",
        "partition_peers",
        "partition_store_and_peers",
        "partition_host",
        "store_outage",
        "lose_write_responses",
        "retire_group",
        "change_demand"};

} // namespace

fault_list make_faults(std::uint64_t seed, std::chrono::milliseconds end)
{
    std::mt19937_64 random(seed);
    const auto random_below = [&](std::uint64_t limit) {
        return random() % limit;
    };
    const std::uint64_t gap_ms = 300 + random_below(3000);
    fault_list faults;
    std::chrono::milliseconds at{4000};
    while (at < end) {
        const auto kind = static_cast<fault_kind>(
            random_below(static_cast<std::uint64_t>(fault_kind::count)));
        const std::uint64_t longest_ms = random_below(4) == 0 ? 20000 : 6000;
        const std::chrono::milliseconds length(200 + random_below(longest_ms));
        faults.push_back({at, kind, random_below(1024), length});
        at += std::chrono::milliseconds(random_below(2 * gap_ms));
    }
    return faults;
}


std::string describe(const fault_list& faults)
{
    std::ostringstream text;
    for (const fault& f : faults)
        text << "  " << f.at_.count() << " ms "
             << fault_names[static_cast<std::size_t>(f.kind_)] << " target "
             << f.target_ << " for " << f.length_.count() << " ms\n";
    return text.str();
}

} // namespace monsoondock::groups::test
