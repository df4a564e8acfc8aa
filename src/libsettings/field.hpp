#pragma once

#include "rule.hpp"

#include <optional>
#include <string_view>

namespace monsoondock::settings::pvt {

/// Description of one key: the type Value, what is allowed and what holds when
/// nobody sets it. A key without a default must be set.
template <class Value>
struct field
{
    std::string_view key_;
    std::optional<Value> default_;
    rule<Value> rule_;
    /// Meaning in one sentence.
    std::string_view meaning_;
};

} // namespace monsoondock::settings::pvt
