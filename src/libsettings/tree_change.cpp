#include "assign.hpp"
#include "raw_text.hpp"

#include <monsoondock/settings/formatted_value.hpp>
#include <monsoondock/settings/tree_change.hpp>
#include <monsoondock/settings/validate.hpp>

#include <algorithm>
#include <map>

namespace monsoondock::settings {

namespace {

const std::string PRESENT = "present";

using value_texts = std::map<std::string, std::string>;


value_texts value_texts_of(const settings_node* node)
{
    value_texts result;
    if (node == nullptr)
        return result;
    for (formatted_value& value : format_values(node->values_))
        result.emplace(std::move(value.key_), std::move(value.text_));
    return result;
}


void add_value_changes(
    std::vector<tree_change>& changes,
    const node_path& path,
    const value_texts& before,
    const value_texts& after)
{
    for (const auto& [key, text] : before) {
        const auto now = after.find(key);
        if (now == after.end())
            changes.push_back({path, key, text, std::nullopt});
        else if (now->second != text)
            changes.push_back({path, key, text, now->second});
    }
    for (const auto& [key, text] : after) {
        if (!before.contains(key))
            changes.push_back({path, key, std::nullopt, text});
    }
}


std::optional<std::string>
current_text(const settings_tree& tree, const tree_change& change)
{
    const settings_node* node = find_node(tree, change.path_);
    if (node == nullptr)
        return std::nullopt;
    if (change.key_.empty())
        return PRESENT;
    const auto raw = pvt::get(node->values_, change.key_);
    if (!raw)
        return std::nullopt;
    return pvt::to_toml_text(*raw);
}


void add_node(settings_tree& tree, const node_path& path)
{
    settings_node node;
    node.path_ = path;
    if (const auto parts = parse_path(path))
        node.level_ = parts->level_;
    tree.nodes_.emplace(path, std::move(node));
}


/// Applies a change whose precondition holds.
std::optional<finding>
apply_change(settings_tree& tree, const tree_change& change)
{
    if (!change.key_.empty() && change.after_)
        return set_value(tree, change.path_, change.key_, *change.after_);
    if (!change.key_.empty())
        pvt::clear(tree.nodes_.at(change.path_).values_, change.key_);
    else if (change.after_)
        add_node(tree, change.path_);
    else
        tree.nodes_.erase(change.path_);
    return std::nullopt;
}


/// Returns true when the node of a value has been removed concurrently, or the
/// node to remove has been given values.
bool conflicts_at_node(const settings_tree& tree, const tree_change& change)
{
    const settings_node* node = find_node(tree, change.path_);
    if (!change.key_.empty())
        return node == nullptr;
    const bool removal = !change.after_;
    return removal && node != nullptr && !format_values(node->values_).empty();
}

} // namespace

std::vector<tree_change>
diff(const settings_tree& before, const settings_tree& after)
{
    std::vector<tree_change> changes;
    for (const auto& [path, node] : after.nodes_) {
        if (!before.nodes_.contains(path))
            changes.push_back({path, {}, std::nullopt, PRESENT});
    }
    for (const auto& [path, node] : after.nodes_)
        add_value_changes(
            changes,
            path,
            value_texts_of(find_node(before, path)),
            value_texts_of(&node));
    for (auto it = before.nodes_.rbegin(); it != before.nodes_.rend(); ++it) {
        if (after.nodes_.contains(it->first))
            continue;
        add_value_changes(changes, it->first, value_texts_of(&it->second), {});
        changes.push_back({it->first, {}, PRESENT, std::nullopt});
    }
    return changes;
}


apply_outcome apply_changes(
    const settings_tree& tree, const std::vector<tree_change>& changes)
{
    settings_tree result = tree;
    std::vector<change_conflict> conflicts;
    findings faults;
    for (const tree_change& change : changes) {
        const auto found = current_text(result, change);
        if (found == change.after_)
            continue;
        if (found != change.before_ || conflicts_at_node(result, change)) {
            conflicts.push_back({change, found});
            continue;
        }
        if (auto fault = apply_change(result, change))
            faults.push_back(std::move(*fault));
    }
    if (!conflicts.empty())
        return conflicts;
    if (faults.empty())
        faults = validate(result);
    if (!faults.empty())
        return faults;
    return result;
}


std::optional<finding> set_value(
    settings_tree& tree,
    const node_path& path,
    const std::string& key,
    const std::string& text)
{
    const auto node = tree.nodes_.find(path);
    if (node == tree.nodes_.end())
        return finding{
            {}, 0, path.value_, "is not a node", "a path of the tree"};
    auto refused = pvt::assign(
        node->second.values_,
        node->second.level_,
        key,
        pvt::parse_raw_text(text));
    if (!refused)
        return std::nullopt;
    return finding{
        {},
        0,
        path.value_ + ":" + key,
        std::move(refused->wrong_),
        std::move(refused->allowed_)};
}


std::optional<finding>
unset_value(settings_tree& tree, const node_path& path, const std::string& key)
{
    const auto node = tree.nodes_.find(path);
    if (node == tree.nodes_.end())
        return finding{
            {}, 0, path.value_, "is not a node", "a path of the tree"};
    if (pvt::clear(node->second.values_, key))
        return std::nullopt;
    return finding{
        {},
        0,
        path.value_ + ":" + key,
        "is an unknown key",
        "a key of `monsoondockctl settings keys`"};
}


std::string to_string(const tree_change& change)
{
    std::string text = change.path_.value_;
    if (!change.key_.empty())
        text += " " + change.key_;
    return text + ": " + change.before_.value_or("(not set)") + " -> " +
           change.after_.value_or("(not set)");
}


std::string to_string(const change_conflict& conflict)
{
    return to_string(conflict.change_) + ", but the tree has " +
           conflict.found_.value_or("(not set)");
}

} // namespace monsoondock::settings
