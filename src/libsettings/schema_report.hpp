#pragma once

#include "setting.hpp"

#include <monsoondock/settings/settings_values.hpp>

#include <chrono>
#include <cstdint>

namespace monsoondock::settings::pvt {

/// Calls visit(setting, access) for each key of the section `report`. access
/// returns the member of a settings_values that holds the key.
template <class Visit>
void visit_report(const Visit& visit)
{
    using namespace std::chrono_literals;
    using std::chrono::milliseconds;
    visit(
        setting<milliseconds>{
            "report",
            {"deadline",
             4h,
             {100ms, 24h},
             "Time from arrival to the end of the answer when the caller names "
             "none."},
            CLASS_LEVELS},
        [](auto& v) -> auto& { return v.report_.deadline_; });
    visit(
        setting<milliseconds>{
            "report",
            {"max_wait", 2h, {0ms, 24h}, "Longest time in a queue."},
            CLASS_LEVELS},
        [](auto& v) -> auto& { return v.report_.max_wait_; });
}

} // namespace monsoondock::settings::pvt
