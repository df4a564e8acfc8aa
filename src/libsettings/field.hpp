#pragma once

#include "rule.hpp"

#include <optional>
#include <string_view>

namespace monsoondock::settings::pvt {

/// Description of one key: its type Value, its allowed values and its default.
/// A key without a default is required.
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
