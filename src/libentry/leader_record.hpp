#pragma once

#include <monsoondock/crashes/part_report.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace monsoondock::entry::pvt {

/// Number of parts of prompts that the leader record keeps.
inline constexpr std::size_t max_recorded_parts = 32;


/// Record of the placement leader in the platform's store.
struct leader_record
{
    std::string daemon_;
    /// "ip:port" through which other daemons join; empty when unknown.
    std::string peer_address_;
    std::uint64_t term_ = 0;
    /// Exclusive upper bound of the epochs that this leader may use.
    std::uint64_t epoch_limit_ = 1;
    /// Random number that makes each write a change, and identifies it when
    /// the response to the write is lost.
    std::uint64_t nonce_ = 0;
    /// Era of the store when the record was written.
    std::uint64_t era_ = 0;
    /// Parts of prompts under which upstreams crash, for a start of all daemons
    /// at once.
    crashes::quarantine_list quarantined_;

    friend bool
    operator==(const leader_record&, const leader_record&) = default;
};


/// Serializes a record as JSON.
std::string to_text(const leader_record& r);


/// Parses a record. Returns nothing when the text is malformed. Fields that
/// earlier builds do not write may be absent.
std::optional<leader_record> parse_record(const std::string& text);

} // namespace monsoondock::entry::pvt
