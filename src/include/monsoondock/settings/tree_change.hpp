#pragma once

#include <monsoondock/settings/finding.hpp>
#include <monsoondock/settings/settings_tree.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace monsoondock::settings {

/// One difference between two trees. A change without a key adds the node
/// when after_ is set and removes it otherwise.
struct tree_change
{
    node_path path_;
    /// Section and key, or empty for the node itself.
    std::string key_;
    /// Values in TOML notation; absent when not set.
    std::optional<std::string> before_;
    std::optional<std::string> after_;

    friend bool operator==(const tree_change&, const tree_change&) = default;
};


/// Change that can't be applied because the tree has a different value.
struct change_conflict
{
    tree_change change_;
    /// Value in the tree, in TOML notation.
    std::optional<std::string> found_;
};


/// Returns the changes that turn before into after: first additions of nodes
/// from the root down, then values, then removals from the leaves up.
std::vector<tree_change>
diff(const settings_tree& before, const settings_tree& after);

/// Outcome of applying changes to a tree.
using apply_outcome =
    std::variant<settings_tree, std::vector<change_conflict>, findings>;


/// Applies the changes to a copy of tree and validates the result. A change
/// whose key has neither its before_ nor its after_ value is a conflict, so
/// that concurrent changes are not overwritten.
apply_outcome apply_changes(
    const settings_tree& tree, const std::vector<tree_change>& changes);


/// Sets one value from text in TOML notation; quotes around a string are
/// optional. The node must exist. Returns the fault when the value can't be
/// set.
std::optional<finding> set_value(
    settings_tree& tree,
    const node_path& path,
    const std::string& key,
    const std::string& text);


/// Removes one value, so that the node inherits it. Returns a fault for an
/// unknown node or key; removing a value that is not set is no fault.
std::optional<finding>
unset_value(settings_tree& tree, const node_path& path, const std::string& key);


/// Returns "path key: before -> after" on one line.
std::string to_string(const tree_change& change);


/// Returns the change and the value found instead on one line.
std::string to_string(const change_conflict& conflict);

} // namespace monsoondock::settings
