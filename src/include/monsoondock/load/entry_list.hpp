#pragma once

#include <monsoondock/base/boot_clock.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace monsoondock::load {

/// Entry hosts that a daemon returned for one workspace, best first.
struct entry_list
{
    std::vector<std::string> addresses_;
    base::time_point expires_at_;
};


/// Parses the answer of GET /v1/entry-hosts; nullopt when it is malformed.
std::optional<entry_list>
parse_entry_list(std::string_view json, base::time_point now);

} // namespace monsoondock::load
