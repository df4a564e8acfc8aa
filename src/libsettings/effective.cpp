#include "schema.hpp"

#include <monsoondock/settings/effective.hpp>

#include <algorithm>

namespace monsoondock::settings {

namespace {

using node_chain = std::vector<const settings_node*>;


base::problem not_found(const std::string& what, const std::string& name)
{
    return {
        base::problem_code::not_found,
        "the settings tree has no " + what + " " + name,
        "see the paths with `monsoondockctl settings get`"};
}


const settings_node*
find_data_centre(const settings_tree& tree, const base::data_centre_id& id)
{
    for (const auto& [path, node] : tree.nodes_) {
        if (node.level_ != level::data_centre)
            continue;
        if (path.value_.ends_with("/" + id.value_))
            return &node;
    }
    return nullptr;
}


void add_if_present(
    node_chain& nodes, const settings_tree& tree, const node_path& path)
{
    if (const settings_node* node = find_node(tree, path))
        nodes.push_back(node);
}


/// Adds the node at path. Returns false when there is none.
bool add(node_chain& nodes, const settings_tree& tree, const node_path& path)
{
    const std::size_t before = nodes.size();
    add_if_present(nodes, tree, path);
    return nodes.size() != before;
}


template <class Value>
void override_by(
    sourced<Value>& target,
    const std::optional<Value>& own,
    const settings_node& node)
{
    if (own)
        target = {*own, node.level_, node.path_};
}

} // namespace

base::result<std::vector<const settings_node*>>
nodes_of(const settings_tree& tree, const place& where)
{
    node_chain nodes;
    if (tree.nodes_.empty())
        return not_found("organisation", "yet");
    const settings_node& root = tree.nodes_.begin()->second;
    path_parts parts;
    parts.organisation_ = root.path_.value_;
    nodes.push_back(&root);
    if (where.data_centre_) {
        const auto* node = find_data_centre(tree, *where.data_centre_);
        if (node == nullptr)
            return not_found("data centre", where.data_centre_->value_);
        add_if_present(nodes, tree, *parent_path(node->path_));
        nodes.push_back(node);
    } else if (where.region_) {
        parts.level_ = level::region;
        parts.region_ = *where.region_;
        if (!add(nodes, tree, make_path(parts)))
            return not_found("region", where.region_->value_);
    }
    if (where.deployment_) {
        parts.level_ = level::deployment;
        parts.deployment_ = *where.deployment_;
        if (!add(nodes, tree, make_path(parts)))
            return not_found("deployment", where.deployment_->value_);
    }
    if (where.deployment_ && where.data_centre_) {
        parts.level_ = level::host_groups;
        parts.data_centre_ = *where.data_centre_;
        add_if_present(nodes, tree, make_path(parts));
    }
    if (where.workspace_) {
        parts.level_ = level::workspace;
        parts.workspace_ = *where.workspace_;
        if (!add(nodes, tree, make_path(parts)))
            return not_found("workspace", where.workspace_->value_);
    }
    return nodes;
}


base::result<effective_values>
effective(const settings_tree& tree, const place& where)
{
    auto nodes = nodes_of(tree, where);
    if (!base::ok(nodes))
        return base::error(nodes);
    effective_values values;
    pvt::for_each_setting([&](const auto& s, auto access) {
        auto& target = access(values);
        target.value_ = *s.field_.default_;
        for (const settings_node* node : base::value(nodes))
            override_by(target, access(node->values_), *node);
    });
    return values;
}

} // namespace monsoondock::settings
