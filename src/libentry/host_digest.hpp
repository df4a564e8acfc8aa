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

/// Store entries of hosts, by host.
using host_entries = std::map<base::host_id, platform::object>;


/// Number of buckets into which hosts are hashed to compare two daemons. With
/// 5,300 hosts a bucket has 83 entries on average, with 250 hosts four.
inline constexpr std::size_t digest_buckets = 64;


/// One checksum for each bucket, over the names and values of its entries. Two
/// daemons with equal checksums have the same entries in that bucket, also when
/// they read them before and after the store was restored.
using host_digest = std::array<std::uint64_t, digest_buckets>;


/// Returns the index of a host's bucket.
std::size_t bucket_of(const base::host_id& id);


/// Returns the checksums of all buckets.
host_digest compute_digest(const host_entries& entries);


/// Returns the checksums as hexadecimal text, 16 digits each.
std::string to_text(const host_digest& digest);


/// Parses the output of to_text. Returns nothing when the text is malformed.
std::optional<host_digest> parse_digest(std::string_view text);

} // namespace monsoondock::entry::pvt
