#pragma once

#include <monsoondock/settings/level.hpp>
#include <monsoondock/settings/node_path.hpp>

namespace monsoondock::settings {

/// Value in force with the level and node that it comes from.
template <class Value>
struct sourced
{
    Value value_{};
    level level_ = level::built_in;
    /// Node that sets the value; empty for a built-in default.
    node_path path_;
};

} // namespace monsoondock::settings
