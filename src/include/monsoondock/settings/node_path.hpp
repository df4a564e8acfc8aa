#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/settings/level.hpp>

#include <optional>

namespace monsoondock::settings {

/// Path of one node of the settings tree, such as `resinas/cr-central`.
using node_path = base::identifier<struct node_path_tag>;

/// Components of a path. Those that the level does not have are empty.
struct path_parts
{
    level level_ = level::organisation;
    std::string organisation_;
    base::region_id region_;
    base::data_centre_id data_centre_;
    base::deployment_id deployment_;
    base::workspace_id workspace_;
};


/// Splits a path. Returns nothing when it matches no level or a component is
/// not a valid name. `deployments` and `workspaces` are reserved and cannot be
/// names of regions.
std::optional<path_parts> parse_path(const node_path& path);


/// Returns the path of the parent node, or nothing for the root.
std::optional<node_path> parent_path(const node_path& path);


/// Joins the components that belong to the level of parts.
node_path make_path(const path_parts& parts);

} // namespace monsoondock::settings
