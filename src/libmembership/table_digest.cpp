#include "table_digest.hpp"

#include <monsoondock/base/stable_hash.hpp>

namespace monsoondock::membership::pvt {

namespace {

/// ASCII "memb". Part of the protocol: all nodes must form the same buckets.
constexpr std::uint64_t BUCKET_SEED = 0x6d656d62;


void add(table_digest& digest, const member_record& record)
{
    if (record.state_ == member_state::dead)
        return;
    const bool leaving = record.state_ == member_state::leaving;
    const std::uint64_t version = record.incarnation_.value_ * 2 + leaving;
    const std::uint64_t hash = base::stable_hash(record.id_.value_, version);
    digest[bucket_of(record.id_)] ^= static_cast<std::uint32_t>(hash);
}

} // namespace

std::size_t bucket_of(const base::daemon_id& id)
{
    return base::stable_hash(id.value_, BUCKET_SEED) % DIGEST_BUCKETS;
}


table_digest digest_of(const member_record& self, const member_table& others)
{
    table_digest digest{};
    add(digest, self);
    for (const auto& [id, other] : others)
        add(digest, other.record_);
    return digest;
}

} // namespace monsoondock::membership::pvt
