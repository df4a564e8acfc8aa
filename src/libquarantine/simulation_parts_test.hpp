#pragma once

#include <monsoondock/platform/memory_store.hpp>
#include <monsoondock/quarantine/suspect_registry.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>

namespace monsoondock::quarantine::test {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr int DAEMONS = 8;
constexpr int GROUPS = 6;
// Content of the request that crashes every group on which it runs.
constexpr int CRASHER = -1;
constexpr milliseconds SIMULATED_TIME = 150s;

// Defects that a run injects to show that its checks detect them. Each disables
// one part of the quarantine.
enum class injected_defect
{
    none,
    not_confined,
    losses_not_recorded,
    trials_hidden
};


// Faults that a run injects.
struct faults
{
    bool store_outage_ = false;
    bool lost_responses_ = true;
    int daemon_restarts_ = 0;
    int random_crashes_ = 0;
    int harmless_requests_ = 8;
    // Harmless requests per thousand that may be quarantined because they were
    // in flight on both groups that the crasher took down.
    int max_quarantined_permille_ = 0;
};


struct statistics
{
    long groups_lost_ = 0;
    long max_groups_lost_ = 0;
    long harmless_requests_ = 0;
    long completed_ = 0;
    long quarantined_harmless_ = 0;
    long writes_ = 0;
};


inline std::string make_name(std::string prefix, long long n)
{
    return prefix.append(std::to_string(n));
}


struct request_state
{
    int content_ = 0;
    int daemon_ = 0;
    int incarnation_ = 0;
    bool finished_ = false;
    int attempts_ = 0;
    base::request_id id_;
    std::optional<group_instance> group_;
};


struct daemon_state
{
    int incarnation_ = 0;
    std::unique_ptr<suspect_registry> registry_;
    std::array<std::uint64_t, GROUPS> serving_generations_{};
    platform::version next_watch_version_;
};

} // namespace monsoondock::quarantine::test
