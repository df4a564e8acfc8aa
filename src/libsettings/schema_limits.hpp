#pragma once

#include "setting.hpp"

#include <monsoondock/settings/settings_values.hpp>

#include <chrono>
#include <cstdint>

namespace monsoondock::settings::pvt {

/// Calls visit(setting, access) for each key of the section `limits`. access
/// returns the member of a settings_values that holds the key.
template <class Visit>
void visit_limits(const Visit& visit)
{
    using namespace std::chrono_literals;
    using std::chrono::milliseconds;
    visit(
        setting<std::uint64_t>{
            "limits",
            {"max_body_bytes",
             1048576,
             {1024, 67108864},
             "Largest request body, in bytes."},
            PLACES_AND_DEPLOYMENTS},
        [](auto& v) -> auto& { return v.limits_.max_body_bytes_; });
    visit(
        setting<std::uint64_t>{
            "limits",
            {"max_answer_tokens",
             4096,
             {1, 1000000},
             "Most tokens that one request may generate."},
            PLACES_AND_DEPLOYMENTS},
        [](auto& v) -> auto& { return v.limits_.max_answer_tokens_; });
}

} // namespace monsoondock::settings::pvt
