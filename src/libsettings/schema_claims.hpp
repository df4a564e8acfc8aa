#pragma once

#include "setting.hpp"

#include <monsoondock/settings/settings_values.hpp>

#include <chrono>
#include <cstdint>

namespace monsoondock::settings::pvt {

/// Calls visit(setting, access) for each key of the section `claims`. access
/// returns the member of a settings_values that holds the key.
template <class Visit>
void visit_claims(const Visit& visit)
{
    using namespace std::chrono_literals;
    using std::chrono::milliseconds;
    visit(
        setting<milliseconds>{
            "claims",
            {"retention",
             168h,
             {1min, 720h},
             "Time for which a claim and its outcome are kept for repeats."},
            DEPLOYMENT_EVERYWHERE},
        [](auto& v) -> auto& { return v.claims_.retention_; });
    visit(
        setting<std::uint64_t>{
            "claims",
            {"max_outcome_bytes",
             65536,
             {0, 524288},
             "Largest answer body that is kept, in bytes."},
            DEPLOYMENT_EVERYWHERE},
        [](auto& v) -> auto& { return v.claims_.max_outcome_bytes_; });
}

} // namespace monsoondock::settings::pvt
