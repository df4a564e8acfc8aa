#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/platform/object.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace monsoondock::entry::pvt {

/// Host entries as the store has them, by host.
using host_entries = std::map<base::host_id, platform::object>;


/// Parts into which hosts are divided for comparison. With 5,300 hosts a part
/// has 83 entries, with 250 hosts four.
inline constexpr std::size_t digest_parts = 64;


/// One sum for each part, over the names and versions of its entries. Two
/// daemons whose sums are equal have the same entries there.
using host_digest = std::array<std::uint64_t, digest_parts>;


/// Returns the part to which a host belongs.
std::size_t part_of(const base::host_id& id);


/// Returns the sums of all parts.
host_digest digest_of(const host_entries& entries);


/// Returns the sums as hexadecimal text, 16 digits each.
std::string to_text(const host_digest& digest);


/// Reads the sums. Returns nothing when the text has another form.
std::optional<host_digest> parse_digest(std::string_view text);

} // namespace monsoondock::entry::pvt
