#include "assign.hpp"

#include "schema.hpp"

namespace monsoondock::settings::pvt {

namespace {

std::string names_of(level_set levels)
{
    std::string text;
    for (int i = 0; i <= static_cast<int>(level::workspace); ++i) {
        const auto l = static_cast<level>(i);
        if (levels.contains(l))
            text += (text.empty() ? "" : ", ") + std::string(to_string(l));
    }
    return text;
}


refusal unknown_key(std::string_view key)
{
    const std::string_view section = key.substr(0, key.find('.'));
    std::string in_section;
    std::string sections;
    for_each_setting([&](const auto& s, auto) {
        if (s.section_ == section)
            in_section += " " + s.name();
        if (sections.find(s.section_) == std::string::npos)
            sections += " " + std::string(s.section_);
    });
    if (in_section.empty())
        return {"is an unknown section", "one of" + sections};
    return {"is an unknown key", "one of" + in_section};
}


template <class Value>
std::optional<refusal> assign_to(
    std::optional<Value>& target,
    const setting<Value>& s,
    level at,
    const raw_value& raw)
{
    if (!s.levels_.contains(at))
        return refusal{
            "cannot be set at level " + std::string(to_string(at)),
            "at level " + names_of(s.levels_)};
    conversion<Value> converted = convert(raw, s.field_.rule_);
    if (auto* refused = std::get_if<refusal>(&converted))
        return std::move(*refused);
    target = std::get<Value>(std::move(converted));
    return std::nullopt;
}

} // namespace

std::optional<refusal>
assign(own_values& values, level at, std::string_view key, const raw_value& raw)
{
    bool known = false;
    std::optional<refusal> refused;
    for_each_setting([&](const auto& s, auto access) {
        if (!s.is(key))
            return;
        known = true;
        refused = assign_to(access(values), s, at, raw);
    });
    if (!known)
        return unknown_key(key);
    return refused;
}


bool clear(own_values& values, std::string_view key)
{
    bool known = false;
    for_each_setting([&](const auto& s, auto access) {
        if (!s.is(key))
            return;
        access(values).reset();
        known = true;
    });
    return known;
}


std::optional<raw_value> get(const own_values& values, std::string_view key)
{
    std::optional<raw_value> found;
    for_each_setting([&](const auto& s, auto access) {
        if (s.is(key) && access(values))
            found = to_raw(*access(values));
    });
    return found;
}

} // namespace monsoondock::settings::pvt
