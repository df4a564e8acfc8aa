#pragma once

#include <monsoondock/settings/finding.hpp>
#include <monsoondock/settings/settings_node.hpp>

#include <string>
#include <string_view>

namespace monsoondock::settings {

/// Encodes a node as JSON for the platform's store.
std::string to_json(const settings_node& node);


/// Decodes the JSON text of a node. Unknown keys and values out of range are
/// faults, as in a tree file.
checked<settings_node> parse_node_json(std::string_view text);


/// Returns the store key of a node object:
/// `settings/nodes/<path>@<revision>`.
std::string node_object_key(const node_path& path, revision at);

} // namespace monsoondock::settings
