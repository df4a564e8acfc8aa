#pragma once

#include <monsoondock/settings/finding.hpp>
#include <monsoondock/settings/settings_tree.hpp>

#include <filesystem>
#include <string>
#include <string_view>

namespace monsoondock::settings {

/// Reads a whole tree from a TOML file and validates it. The file has one
/// table for each node, named by its path, with the sections below it.
checked<settings_tree> load_tree_file(const std::filesystem::path& path);


/// Reads a whole tree from TOML text; file names it in the faults.
checked<settings_tree> parse_tree(std::string_view text, std::string_view file);


/// Formats the tree as TOML that parse_tree reads.
std::string to_toml(const settings_tree& tree);

} // namespace monsoondock::settings
