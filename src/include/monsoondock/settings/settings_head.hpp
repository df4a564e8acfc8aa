#pragma once

#include <monsoondock/settings/finding.hpp>
#include <monsoondock/settings/node_path.hpp>
#include <monsoondock/settings/revision.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace monsoondock::settings {

/// Change of one node by an accepted edit.
struct node_change
{
    node_path path_;
    /// Revision of the new node object; nothing for a removed node.
    std::optional<revision> at_;

    friend bool operator==(const node_change&, const node_change&) = default;
};


/// One accepted edit in the history of the head.
struct head_entry
{
    revision revision_;
    /// Token of the edit, by which its author finds out whether it was
    /// accepted.
    std::string token_;
    std::string author_;
    std::string note_;
    /// The changed nodes, or nothing when there are more than
    /// MAX_ENTRY_CHANGES; the index must be read then.
    std::optional<std::vector<node_change>> changes_;

    friend bool operator==(const head_entry&, const head_entry&) = default;
};


/// The object `settings/head`: the accepted revision and the latest edits that
/// led to it. The object `settings/index@<revision>` lists all nodes.
struct settings_head
{
    revision revision_;
    /// Revision before the oldest entry of the history; 0 when there is none.
    revision before_history_;
    /// Latest accepted edits, the newest last, at most HEAD_HISTORY_LIMIT.
    std::vector<head_entry> history_;

    friend bool
    operator==(const settings_head&, const settings_head&) = default;
};

/// Maximum number of entries in the history of a head.
inline constexpr std::size_t HEAD_HISTORY_LIMIT = 32;

/// Maximum number of changes listed in one entry of the history.
inline constexpr std::size_t MAX_ENTRY_CHANGES = 32;

/// Maximum length of author and note together, in bytes.
inline constexpr std::size_t MAX_ENTRY_TEXT_BYTES = 500;

/// Key of the head object in the platform's store.
inline constexpr std::string_view HEAD_KEY = "settings/head";


/// Encodes a head as JSON.
std::string to_json(const settings_head& head);


/// Decodes the JSON text of a head.
checked<settings_head> parse_head_json(std::string_view text);


/// Returns true when the history of the head has the edit with this token.
bool history_contains(const settings_head& head, const std::string& token);

} // namespace monsoondock::settings
