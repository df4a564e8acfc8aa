#pragma once

#include <monsoondock/settings/finding.hpp>
#include <monsoondock/settings/node_path.hpp>
#include <monsoondock/settings/revision.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace monsoondock::settings {

/// One acceptance, as the head remembers it.
struct head_entry
{
    revision revision_;
    /// Unique to the edit; tells its author whether it was accepted.
    std::string token_;
    std::string author_;
    std::string note_;

    friend bool operator==(const head_entry&, const head_entry&) = default;
};


/// The object `settings/head`: the accepted revision of each node.
struct settings_head
{
    revision revision_;
    std::map<node_path, revision> nodes_;
    /// Latest acceptances, the newest last, at most HEAD_HISTORY_LIMIT.
    std::vector<head_entry> history_;

    friend bool
    operator==(const settings_head&, const settings_head&) = default;
};

/// Most acceptances that a head remembers.
inline constexpr std::size_t HEAD_HISTORY_LIMIT = 64;

/// Key of the head object in the platform's store.
inline constexpr std::string_view HEAD_KEY = "settings/head";


/// Returns the JSON text of a head.
std::string to_json(const settings_head& head);


/// Reads the JSON text of a head.
checked<settings_head> parse_head_json(std::string_view text);


/// Returns true when the head remembers the edit with this token.
bool remembers(const settings_head& head, const std::string& token);

} // namespace monsoondock::settings
