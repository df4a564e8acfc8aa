#pragma once

#include "setting.hpp"

#include <monsoondock/settings/settings_values.hpp>

#include <chrono>
#include <cstdint>

namespace monsoondock::settings::pvt {

/// Calls visit(setting, access) for each key of the section `interactive`.
/// access returns the member of a settings_values that holds the key.
template <class Visit>
void visit_interactive(const Visit& visit)
{
    using namespace std::chrono_literals;
    using std::chrono::milliseconds;
    visit(
        setting<milliseconds>{
            "interactive",
            {"deadline",
             2min,
             {100ms, 24h},
             "Time from arrival to the end of the answer when the caller names "
             "none."},
            CLASS_LEVELS},
        [](auto& v) -> auto& { return v.interactive_.deadline_; });
    visit(
        setting<milliseconds>{
            "interactive",
            {"max_wait", 5s, {0ms, 24h}, "Longest time in a queue."},
            CLASS_LEVELS},
        [](auto& v) -> auto& { return v.interactive_.max_wait_; });
}

} // namespace monsoondock::settings::pvt
