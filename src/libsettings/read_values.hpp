#pragma once

#include "table_reader.hpp"

#include <string>
#include <string_view>
#include <utility>

namespace monsoondock::settings::pvt {

/// Reads a required key.
template <class Value>
Value read_required(
    table_reader& r, std::string_view key, rule<Value> limits = {})
{
    return r.require(field<Value>{key, {}, limits, {}});
}


/// Reads a key with a default for when it is absent.
template <class Value>
Value read_optional(
    table_reader& r,
    std::string_view key,
    Value default_value,
    rule<Value> limits)
{
    return r.require(field<Value>{key, std::move(default_value), limits, {}});
}


/// Reads an optional table. When it is absent, all its keys have their
/// defaults.
template <class Section>
Section read_section(
    table_reader& parent,
    std::string_view name,
    const std::string& file,
    findings& faults,
    Section (*read)(table_reader&))
{
    static const toml::table empty;
    const toml::table* table = parent.table(name);
    table_reader reader(
        table != nullptr ? *table : empty,
        file,
        std::string(name) + ".",
        faults);
    Section section = read(reader);
    reader.finish();
    return section;
}

} // namespace monsoondock::settings::pvt
