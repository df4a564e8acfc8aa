#include "assign.hpp"
#include "schema.hpp"

#include <monsoondock/settings/node_codec.hpp>

#include <boost/json.hpp>

namespace monsoondock::settings {

namespace {

namespace json = boost::json;


struct json_value_visitor
{
    json::value operator()(bool value) const
    {
        return value;
    }


    json::value operator()(std::int64_t value) const
    {
        return value;
    }


    json::value operator()(double value) const
    {
        return value;
    }


    json::value operator()(const std::string& value) const
    {
        return json::string(value);
    }


    json::value operator()(const std::vector<std::string>& value) const
    {
        json::array list;
        for (const std::string& item : value)
            list.emplace_back(item);
        return list;
    }


    json::value operator()(const pvt::unsupported_value& /*value*/) const
    {
        return nullptr;
    }
};


pvt::raw_value raw_list(const json::array& list)
{
    std::vector<std::string> items;
    for (const json::value& item : list) {
        if (!item.is_string())
            return pvt::unsupported_value{
                "a list with items that are not strings"};
        items.emplace_back(item.get_string());
    }
    return items;
}


pvt::raw_value raw_of(const json::value& value)
{
    if (value.is_bool())
        return value.get_bool();
    if (value.is_int64())
        return value.get_int64();
    if (value.is_double())
        return value.get_double();
    if (value.is_string())
        return std::string(value.get_string());
    if (value.is_array())
        return raw_list(value.get_array());
    return pvt::unsupported_value{"a JSON value of another type"};
}


json::object sections_of(const own_values& values)
{
    json::object sections;
    pvt::for_each_setting([&](const auto& s, auto access) {
        const auto& value = access(values);
        if (!value)
            return;
        json::value& section = sections[s.section_];
        if (section.is_null())
            section.emplace_object();
        section.get_object()[s.field_.key_] =
            std::visit(json_value_visitor{}, pvt::to_raw(*value));
    });
    return sections;
}


findings corrupt(const std::string& wrong)
{
    return {{{}, 0, {}, wrong, "a node object as monsoondockctl writes it"}};
}


void read_section(
    settings_node& node,
    const std::string& name,
    const json::object& keys,
    findings& faults)
{
    for (const auto& item : keys) {
        const std::string key = name + "." + std::string(item.key());
        auto refused =
            pvt::assign(node.values_, node.level_, key, raw_of(item.value()));
        if (refused)
            faults.push_back(
                {{},
                 0,
                 node.path_.value_ + ":" + key,
                 std::move(refused->wrong_),
                 std::move(refused->allowed_)});
    }
}


checked<settings_node> read_node(const json::object& object)
{
    const json::value* path = object.if_contains("path");
    const json::value* at = object.if_contains("revision");
    const json::value* values = object.if_contains("values");
    if (path == nullptr || at == nullptr || values == nullptr)
        return corrupt("has no path, revision or values");
    if (!path->is_string() || !at->is_int64() || !values->is_object())
        return corrupt("has a path, revision or values of the wrong type");
    settings_node node;
    node.path_.value_ = std::string(path->get_string());
    node.revision_.value_ = static_cast<std::uint64_t>(at->get_int64());
    const auto parts = parse_path(node.path_);
    if (!parts || at->get_int64() < 0)
        return corrupt(
            "has a path that matches no level, or a negative revision");
    node.level_ = parts->level_;
    findings faults;
    for (const auto& section : values->get_object()) {
        if (!section.value().is_object())
            return corrupt("has a section that is not an object");
        read_section(
            node,
            std::string(section.key()),
            section.value().get_object(),
            faults);
    }
    if (!faults.empty())
        return faults;
    return node;
}

} // namespace

std::string to_json(const settings_node& node)
{
    json::object object;
    object["path"] = node.path_.value_;
    object["revision"] = static_cast<std::int64_t>(node.revision_.value_);
    object["values"] = sections_of(node.values_);
    return json::serialize(object);
}


checked<settings_node> parse_node_json(std::string_view text)
{
    boost::system::error_code error;
    const json::value parsed = json::parse({text.data(), text.size()}, error);
    if (error || !parsed.is_object())
        return corrupt("is not a JSON object");
    return read_node(parsed.get_object());
}


std::string node_object_key(const node_path& path, revision at)
{
    return "settings/nodes/" + path.value_ + "@" + std::to_string(at.value_);
}

} // namespace monsoondock::settings
