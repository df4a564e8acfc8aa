#pragma once

#include <monsoondock/settings/finding.hpp>
#include <monsoondock/settings/node_path.hpp>
#include <monsoondock/settings/revision.hpp>
#include <monsoondock/settings/settings_head.hpp>
#include <monsoondock/settings/settings_tree.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace monsoondock::settings {

/// The object `settings/index@<revision>`: the revision of each node of an
/// accepted tree. Written once and never changed.
struct settings_index
{
    revision revision_;
    std::map<node_path, revision> nodes_;

    friend bool
    operator==(const settings_index&, const settings_index&) = default;
};


/// Returns the index of a tree.
settings_index index_of(const settings_tree& tree);


/// Returns the index of a head, computed from an older index and the changes
/// listed in the head, or nothing when the head does not list them all.
std::optional<settings_index>
advance_index(const settings_index& from, const settings_head& head);


/// Returns the keys of the node objects that are in older but not in newer,
/// followed by the key of the index object of older. Once the head
/// has advanced beyond both, no index refers to these objects again.
std::vector<std::string>
superseded_keys(const settings_index& older, const settings_index& newer);


/// Encodes an index as JSON.
std::string to_json(const settings_index& index);


/// Decodes the JSON text of an index.
checked<settings_index> parse_index_json(std::string_view text);


/// Returns the store key of an index object.
std::string index_object_key(revision at);


/// Returns true when key is the key of an index object.
bool is_index_key(std::string_view key);

} // namespace monsoondock::settings
