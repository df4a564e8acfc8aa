#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/catalog/engine.hpp>
#include <monsoondock/fleet/host_table.hpp>

#include <map>
#include <set>
#include <string>

namespace monsoondock::placement {

/// What a planner decides from at one moment.
struct planner_input
{
    base::time_point now_;
    const fleet::host_table* hosts_ = nullptr;
    const catalog::engine* engine_ = nullptr;
    /// Hosts that were found to be unreachable though they may be listed.
    std::set<base::host_id> unreachable_;
    /// Hosts that each model's requests keep busy, as measured. Empty: nothing
    /// was measured, and operators' expected shares count.
    std::map<std::string, double> needed_hosts_;
    /// True before any caller's request, when loads are quick and free.
    bool before_traffic_ = false;
};

} // namespace monsoondock::placement
