#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/catalog/engine.hpp>
#include <monsoondock/fleet/host_table.hpp>

#include <map>
#include <set>
#include <string>

namespace monsoondock::placement {

/// What a planner decides from at one moment.
struct facts
{
    base::time_point now_;
    const fleet::host_table* hosts_ = nullptr;
    const catalog::engine* engine_ = nullptr;
    /// Hosts that were found to be unreachable though they may be listed.
    std::set<base::host_id> unreachable_;
    /// Heads that answer some daemon, whatever the list says.
    std::set<base::host_id> answering_;
    /// Share of the deployment's host time that each model needs; models that
    /// are missing take the share that operators expect.
    std::map<std::string, double> demand_;
    /// True before any caller's request, when loads are quick and free.
    bool before_traffic_ = false;
};

} // namespace monsoondock::placement
