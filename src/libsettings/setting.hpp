#pragma once

#include "field.hpp"
#include "level_set.hpp"

#include <string>
#include <string_view>

namespace monsoondock::settings::pvt {

/// One key of the schema.
template <class Value>
struct setting
{
    std::string_view section_;
    field<Value> field_;
    level_set levels_;


    /// Returns `section.key`.
    std::string name() const
    {
        return std::string(section_) + "." + std::string(field_.key_);
    }


    /// Returns true when name is `section.key`.
    bool is(std::string_view name) const
    {
        const std::size_t dot = section_.size();
        return name.size() > dot && name[dot] == '.' &&
               name.substr(0, dot) == section_ &&
               name.substr(dot + 1) == field_.key_;
    }
};

} // namespace monsoondock::settings::pvt
