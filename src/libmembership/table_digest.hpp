#pragma once

#include <monsoondock/membership/member.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace monsoondock::membership::pvt {

/// Number of buckets into which a table is divided for comparison.
inline constexpr std::size_t DIGEST_BUCKETS = 32;


/// One hash per bucket of a member table. Two nodes with equal digests agree on
/// the live members and their incarnations. Dead members and the difference
/// between alive and suspect are left out.
using table_digest = std::array<std::uint32_t, DIGEST_BUCKETS>;


/// Returns the index of the bucket that a member belongs to.
std::size_t bucket_of(const base::daemon_id& id);


/// Returns the digest of a node's own record and its table.
table_digest digest_of(const member_record& self, const member_table& others);

} // namespace monsoondock::membership::pvt
