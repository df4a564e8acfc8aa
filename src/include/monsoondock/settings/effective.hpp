#pragma once

#include <monsoondock/base/result.hpp>
#include <monsoondock/settings/place.hpp>
#include <monsoondock/settings/settings_tree.hpp>

#include <vector>

namespace monsoondock::settings {

/// Returns the nodes whose values apply at a place, in the order of
/// precedence: a later node overrides an earlier one. Problem not_found: the
/// tree has no such data centre, deployment or workspace.
base::result<std::vector<const settings_node*>>
nodes_of(const settings_tree& tree, const place& where);


/// Returns all settings in force at a place, each with the level and node that
/// it comes from. Problem not_found as for nodes_of.
base::result<effective_values>
effective(const settings_tree& tree, const place& where);

} // namespace monsoondock::settings
