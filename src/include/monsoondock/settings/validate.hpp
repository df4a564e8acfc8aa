#pragma once

#include <monsoondock/settings/finding.hpp>
#include <monsoondock/settings/settings_tree.hpp>

namespace monsoondock::settings {

/// Checks the tree as a whole: its shape, the level of each value, and the
/// values in force at each place against each other. Returns every fault
/// with the key `path:section.key` and without file and line.
findings validate(const settings_tree& tree);

} // namespace monsoondock::settings
