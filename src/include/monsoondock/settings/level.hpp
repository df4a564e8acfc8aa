#pragma once

namespace monsoondock::settings {

/// Levels of the settings tree, in the order of precedence: a value of a later
/// level overrides a value of an earlier one.
enum class level
{
    /// Default compiled into the program; it has no node.
    built_in,
    /// `<organisation>`: root of the tree.
    organisation,
    /// `<organisation>/<region>`.
    region,
    /// `<organisation>/<region>/<data centre>`.
    data_centre,
    /// `<organisation>/deployments/<deployment>`.
    deployment,
    /// `<organisation>/deployments/<deployment>/<data centre>`: the replica
    /// groups of one deployment in one data centre.
    host_groups,
    /// `<organisation>/workspaces/<workspace>`.
    workspace
};


/// Returns the name of a level as it appears in messages and JSON.
const char* to_string(level l) noexcept;

} // namespace monsoondock::settings
