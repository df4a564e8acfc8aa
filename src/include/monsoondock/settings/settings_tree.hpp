#pragma once

#include <monsoondock/settings/revision.hpp>
#include <monsoondock/settings/settings_node.hpp>

#include <map>

namespace monsoondock::settings {

/// All nodes of one revision.
struct settings_tree
{
    /// 0 for a tree that has not been accepted.
    revision revision_;
    std::map<node_path, settings_node> nodes_;
};


/// Returns the node at path, or null.
const settings_node*
find_node(const settings_tree& tree, const node_path& path);

} // namespace monsoondock::settings
