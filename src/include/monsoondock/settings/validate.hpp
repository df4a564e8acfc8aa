#pragma once

#include <monsoondock/settings/finding.hpp>
#include <monsoondock/settings/settings_tree.hpp>

namespace monsoondock::settings {

/// Checks the tree as a whole: its structure, the level of each value and the
/// consistency of the values in force at each place. Returns all faults, with
/// keys of the form `path:section.key` and without file and line.
findings validate(const settings_tree& tree);

} // namespace monsoondock::settings
