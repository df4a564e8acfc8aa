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
    /// Values as TOML writes them; absent when not set.
    std::optional<std::string> before_;
    std::optional<std::string> after_;

    friend bool operator==(const tree_change&, const tree_change&) = default;
};


/// Change that cannot be made because the tree has another value by now.
struct change_conflict
{
    tree_change change_;
    /// What the tree has, as TOML writes it.
    std::optional<std::string> found_;
};


/// Returns what turns before into after: additions of nodes first, from the
/// root down, then values, then removals from the leaves up.
std::vector<tree_change>
diff(const settings_tree& before, const settings_tree& after);

/// Outcome of applying changes to a tree.
using apply_outcome =
    std::variant<settings_tree, std::vector<change_conflict>, findings>;


/// Makes the changes in tree and validates the whole. A change whose key has
/// neither its before_ nor its after_ value is a conflict, so that changes
/// made elsewhere in the meantime stay.
apply_outcome apply_changes(
    const settings_tree& tree, const std::vector<tree_change>& changes);


/// Sets one value from text, written as in TOML; quotes around a string may be
/// left out. The node must exist. Returns the fault that prevented it.
std::optional<finding> set_value(
    settings_tree& tree,
    const node_path& path,
    const std::string& key,
    const std::string& text);


/// Removes one value, so that the node inherits it. Returns the fault that
/// prevented it; a value that is not set is none.
std::optional<finding>
unset_value(settings_tree& tree, const node_path& path, const std::string& key);


/// Returns "path key: before -> after" on one line.
std::string to_string(const tree_change& change);


/// Returns the change and the value found instead on one line.
std::string to_string(const change_conflict& conflict);

} // namespace monsoondock::settings
