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
constexpr int CRASHER = -1;
constexpr milliseconds END = 150s;

enum class variant
{
    correct,
    not_confined,
    losses_not_recorded,
    trials_hidden
};


struct faults
{
    bool outage_ = false;
    bool lost_answers_ = true;
    int kills_ = 0;
    int chance_crashes_ = 0;
    int innocents_ = 8;
    // Harmless requests in a thousand that may be quarantined because two
    // groups were lost under them by the crasher's own two losses.
    int shared_fate_permille_ = 0;
};


struct figures
{
    long groups_lost_ = 0;
    long most_groups_lost_ = 0;
    long innocents_ = 0;
    long completed_ = 0;
    long quarantined_innocents_ = 0;
    long writes_ = 0;
};


inline std::string numbered(std::string prefix, long long n)
{
    return prefix.append(std::to_string(n));
}


struct request_state
{
    int content_ = 0;
    int daemon_ = 0;
    int life_ = 0;
    bool over_ = false;
    int asks_ = 0;
    base::request_id id_;
    std::optional<group_instance> group_;
};


struct daemon_state
{
    int life_ = 0;
    std::unique_ptr<suspect_registry> registry_;
    std::array<std::uint64_t, GROUPS> whole_{};
    platform::version feed_from_;
};

} // namespace monsoondock::quarantine::test
