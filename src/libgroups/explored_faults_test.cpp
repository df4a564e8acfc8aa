#include "explored_faults_test.hpp"

#include <array>
#include <random>
#include <sstream>

namespace monsoondock::groups::test {

namespace {

constexpr std::array<const char*, static_cast<std::size_t>(fault_kind::count)>
    fault_names{
        "kill_host",
        "restart_host",
        "pause_host",
        "leave_host",
        "unlist_host",
        "relist_host",
        "dark_domain",
        "pause_daemon",
        "pause_leader",
        "restart_daemon",
        "cut_store",
        "cut_peers",
        "cut_both",
        "cut_host",
        "store_outage",
        "lose_answers",
        "operator_retires",
        "change_demand"};

} // namespace

fault_list make_faults(std::uint64_t seed, std::chrono::milliseconds end)
{
    std::mt19937_64 random(seed);
    const auto pick = [&](std::uint64_t limit) {
        return random() % limit;
    };
    const std::uint64_t gap_ms = 300 + pick(3000);
    fault_list faults;
    std::chrono::milliseconds at{4000};
    while (at < end) {
        const auto kind = static_cast<fault_kind>(
            pick(static_cast<std::uint64_t>(fault_kind::count)));
        const std::uint64_t longest_ms = pick(4) == 0 ? 20000 : 6000;
        const std::chrono::milliseconds length(200 + pick(longest_ms));
        faults.push_back({at, kind, pick(1024), length});
        at += std::chrono::milliseconds(pick(2 * gap_ms));
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
