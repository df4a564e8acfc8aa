#include "current_tree.hpp"

#include <monsoondock/settings/node_codec.hpp>
#include <monsoondock/settings/settings_index.hpp>

namespace monsoondockctl {

namespace base = monsoondock::base;
namespace settings = monsoondock::settings;

namespace {

base::problem corrupt_settings(const settings::findings& faults)
{
    return {
        base::problem_code::corrupt,
        "the settings in the store cannot be parsed: " +
            to_string(faults.at(0)),
        "use the version of monsoondockctl that wrote them"};
}


base::result<settings::settings_node>
parse_node(const platform_session::object_result& read)
{
    if (!base::ok(read))
        return base::error(read);
    const auto& object = base::value(read);
    auto node = settings::parse_node_json(object ? object->value_ : "");
    if (auto* faults = std::get_if<settings::findings>(&node))
        return corrupt_settings(*faults);
    return std::get<settings::settings_node>(std::move(node));
}

} // namespace

base::result<settings::settings_head> read_head(platform_session& session)
{
    const auto read = session.get(std::string(settings::HEAD_KEY));
    if (!base::ok(read))
        return base::error(read);
    const auto& object = base::value(read);
    if (!object)
        return settings::settings_head{};
    auto head = settings::parse_head_json(object->value_);
    if (auto* faults = std::get_if<settings::findings>(&head))
        return corrupt_settings(*faults);
    return std::get<settings::settings_head>(std::move(head));
}


base::result<settings::settings_index> read_index(platform_session& session)
{
    const auto head = read_head(session);
    if (!base::ok(head))
        return base::error(head);
    const settings::revision at = base::value(head).revision_;
    if (at == settings::revision{})
        return settings::settings_index{};
    const auto read = session.get(settings::index_object_key(at));
    if (!base::ok(read))
        return base::error(read);
    const auto& object = base::value(read);
    auto index = settings::parse_index_json(object ? object->value_ : "");
    if (auto* faults = std::get_if<settings::findings>(&index))
        return corrupt_settings(*faults);
    return std::get<settings::settings_index>(std::move(index));
}


base::result<settings::settings_tree> read_tree(platform_session& session)
{
    const auto index = read_index(session);
    if (!base::ok(index))
        return base::error(index);
    std::vector<std::string> keys;
    for (const auto& [path, at] : base::value(index).nodes_)
        keys.push_back(settings::node_object_key(path, at));
    settings::settings_tree tree;
    tree.revision_ = base::value(index).revision_;
    for (const auto& read : session.get_all(keys)) {
        auto node = parse_node(read);
        if (!base::ok(node))
            return base::error(node);
        const settings::node_path path = base::value(node).path_;
        tree.nodes_.emplace(path, base::value(std::move(node)));
    }
    return tree;
}


std::optional<base::problem> check_platform(const options& o)
{
    if (!o.platform_.empty())
        return std::nullopt;
    return base::problem{
        base::problem_code::invalid_argument,
        "no platform address given",
        "add --platform ip:port"};
}

} // namespace monsoondockctl
