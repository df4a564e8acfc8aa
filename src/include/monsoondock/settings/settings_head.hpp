#pragma once

#include <monsoondock/settings/finding.hpp>
#include <monsoondock/settings/node_path.hpp>
#include <monsoondock/settings/revision.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace monsoondock::settings {

/// Change of one node by an acceptance.
struct node_change
{
    node_path path_;
    /// Revision of the node object now; nothing for a removed node.
    std::optional<revision> at_;

    friend bool operator==(const node_change&, const node_change&) = default;
};


/// One acceptance, as the head remembers it.
struct head_entry
{
    revision revision_;
    /// Unique to the edit; tells its author whether it was accepted.
    std::string token_;
    std::string author_;
    std::string note_;
    /// The nodes that changed, or nothing when they were more than
    /// MAX_ENTRY_CHANGES; the index names them all then.
    std::optional<std::vector<node_change>> changes_;

    friend bool operator==(const head_entry&, const head_entry&) = default;
};


/// The object `settings/head`: the accepted revision and the acceptances that
/// led to it. The object `settings/index@<revision>` names all nodes.
struct settings_head
{
    revision revision_;
    /// Revision before the oldest of the history; 0 when there is none.
    revision before_history_;
    /// Latest acceptances, the newest last, at most HEAD_HISTORY_LIMIT.
    std::vector<head_entry> history_;

    friend bool
    operator==(const settings_head&, const settings_head&) = default;
};

/// Most acceptances that a head remembers.
inline constexpr std::size_t HEAD_HISTORY_LIMIT = 32;

/// Most changes that an acceptance lists in the head.
inline constexpr std::size_t MAX_ENTRY_CHANGES = 32;

/// Longest author and note together, in bytes.
inline constexpr std::size_t MAX_ENTRY_TEXT_BYTES = 500;

/// Key of the head object in the platform's store.
inline constexpr std::string_view HEAD_KEY = "settings/head";


/// Returns the JSON text of a head.
std::string to_json(const settings_head& head);


/// Reads the JSON text of a head.
checked<settings_head> parse_head_json(std::string_view text);


/// Returns true when the head remembers the edit with this token.
bool history_contains(const settings_head& head, const std::string& token);

} // namespace monsoondock::settings
