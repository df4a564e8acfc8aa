#pragma once

#include <monsoondock/groups/lease_claim.hpp>
#include <monsoondock/groups/verdict_entry.hpp>

#include <cstdint>
#include <vector>

namespace monsoondock::groups {

/// Asks a daemon for its verdicts.
struct verdict_request
{
    /// Time on the asker's clock in nanoseconds; the reply repeats it.
    std::uint64_t stamp_ = 0;
    /// Keys of the groups asked for; empty for all groups of the data centre
    /// of the daemon that is asked.
    std::vector<std::uint64_t> groups_;
};


/// Answers a verdict_request.
struct verdict_reply
{
    std::uint64_t stamp_ = 0;
    std::vector<verdict_entry> entries_;
    std::vector<lease_claim> leases_;
};


/// Serialization hook for cereal.
template <class Archive>
void serialize(Archive& archive, verdict_request& r)
{
    archive(r.stamp_, r.groups_);
}


/// Serialization hook for cereal.
template <class Archive>
void serialize(Archive& archive, verdict_reply& r)
{
    archive(r.stamp_, r.entries_, r.leases_);
}

} // namespace monsoondock::groups
