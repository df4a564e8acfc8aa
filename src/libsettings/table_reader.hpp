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


/// Returns the node's value without a check.
raw_value to_raw(const toml::node& node);


/// Sorts by line; equal lines keep their order.
void sort_by_line(findings& all);


/// Reads the keys of one TOML table and notes every fault. Keys that nobody
/// asked for become faults in finish.
class table_reader
{
public:
    /// Reads table; prefix goes before each key in faults.
    table_reader(
        const toml::table& table,
        std::string file,
        std::string prefix,
        findings& faults);


    /// Returns the value of a key, or nothing when it is absent or at fault.
    template <class Value>
    std::optional<Value> find(const field<Value>& f)
    {
        const toml::node* node = take(f.key_);
        if (node == nullptr)
            return std::nullopt;
        conversion<Value> result = convert(to_raw(*node), f.rule_);
        if (auto* value = std::get_if<Value>(&result))
            return std::move(*value);
        note(f.key_, node, std::get<refusal>(std::move(result)));
        return std::nullopt;
    }


    /// Like find, but an absent key takes its default or is a fault.
    template <class Value>
    Value require(const field<Value>& f)
    {
        const bool absent = !table_.contains(f.key_);
        if (absent && !f.default_)
            note(f.key_, &table_, {"is missing", allowed(f.rule_)});
        if (absent)
            return f.default_.value_or(Value{});
        return find(f).value_or(Value{});
    }


    /// Returns a table below this one, or null when it is absent or at fault.
    const toml::table* table(std::string_view key);


    /// Notes every key that was not read.
    void finish();


    /// Notes a fault of key at the line of node.
    void note(std::string_view key, const toml::node* node, refusal why);


    /// Returns the full name of a key.
    std::string full_name(std::string_view key) const;

private:
    const toml::node* take(std::string_view key);

    std::string known_keys() const;

    const toml::table& table_;
    std::string file_;
    std::string prefix_;
    findings& faults_;
    std::vector<std::string> known_;
};

} // namespace monsoondock::settings::pvt
