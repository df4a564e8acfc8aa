#pragma once

#include "convert.hpp"
#include "field.hpp"

#include <monsoondock/settings/finding.hpp>

#include <toml++/toml.h>

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace monsoondock::settings::pvt {

/// Parses TOML text; a syntax error or a duplicate key becomes the only
/// finding.
checked<toml::table> parse_toml(std::string_view text, std::string_view file);


/// Converts the value of a node without validation.
raw_value to_raw(const toml::node& node);


/// Stable sort by line.
void sort_by_line(findings& all);


/// Reads the keys of one TOML table and collects all faults. finish reports the
/// keys that were not read as unknown.
class table_reader
{
public:
    /// Reads table; prefix is prepended to each key in faults.
    table_reader(
        const toml::table& table,
        std::string file,
        std::string prefix,
        findings& faults);


    /// Returns the value of a key, or nothing when it is absent or invalid.
    template <class Value>
    std::optional<Value> find(const field<Value>& f)
    {
        const toml::node* node = take_node(f.key_);
        if (node == nullptr)
            return std::nullopt;
        conversion<Value> result = convert(to_raw(*node), f.rule_);
        if (auto* value = std::get_if<Value>(&result))
            return std::move(*value);
        add_fault(f.key_, node, std::get<refusal>(std::move(result)));
        return std::nullopt;
    }


    /// Like find, but an absent key yields its default, or a fault when it has
    /// none.
    template <class Value>
    Value require(const field<Value>& f)
    {
        const bool absent = !table_.contains(f.key_);
        if (absent && !f.default_)
            add_fault(f.key_, &table_, {"is missing", allowed(f.rule_)});
        if (absent)
            return f.default_.value_or(Value{});
        return find(f).value_or(Value{});
    }


    /// Returns a subtable, or null when it is absent or not a table.
    const toml::table* table(std::string_view key);


    /// Adds a fault for each key that was not read.
    void finish();


    /// Adds a fault of key at the line of node.
    void add_fault(std::string_view key, const toml::node* node, refusal why);


    /// Returns the full name of a key.
    std::string full_name(std::string_view key) const;

private:
    const toml::node* take_node(std::string_view key);

    std::string known_keys() const;

    const toml::table& table_;
    std::string file_;
    std::string prefix_;
    findings& faults_;
    std::vector<std::string> known_;
};

} // namespace monsoondock::settings::pvt
