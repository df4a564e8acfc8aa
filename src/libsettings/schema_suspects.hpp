#pragma once

#include "setting.hpp"

#include <monsoondock/settings/settings_values.hpp>

#include <chrono>
#include <cstdint>

namespace monsoondock::settings::pvt {

/// Calls visit(setting, access) for each key of the section `suspects`. access
/// returns the member of a settings_values that holds the key.
template <class Visit>
void visit_suspects(const Visit& visit)
{
    using namespace std::chrono_literals;
    using std::chrono::milliseconds;
    visit(
        setting<std::uint64_t>{
            "suspects",
            {"max_crashes",
             2,
             {1, 16},
             "Groups that may crash under a request before it is refused."},
            ORGANISATION_ONLY},
        [](auto& v) -> auto& { return v.suspects_.max_crashes_; });
    visit(
        setting<milliseconds>{
            "suspects",
            {"retention",
             24h,
             {1min, 720h},
             "Time for which the request is refused."},
            ORGANISATION_ONLY},
        [](auto& v) -> auto& { return v.suspects_.retention_; });
}

} // namespace monsoondock::settings::pvt
