#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/base/result.hpp>
#include <monsoondock/crashes/prompt_part.hpp>
#include <monsoondock/quarantine/group_instance.hpp>
#include <monsoondock/quarantine/suspect_fingerprint.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace monsoondock::quarantine {

/// Number of lost groups from which on a request is quarantined.
inline constexpr std::size_t QUARANTINE_LOSSES = 2;

/// Wall-clock time in a record. It is compared between hosts only to decide
/// whether a trial is overdue.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;


/// Permission to run a suspect once more, on one group.
struct trial
{
    group_instance group_;
    base::daemon_id daemon_;
    /// Unique identifier of this trial.
    std::string token_;
    wall_time started_at_;

    friend bool operator==(const trial&, const trial&) = default;
};


/// A request that was in flight on a group when the group was lost.
struct suspect_record
{
    suspect_fingerprint fingerprint_;
    base::workspace_id workspace_;
    base::deployment_id deployment_;
    std::set<group_instance> lost_;
    /// Parts of its prompt that other requests may share, without those that
    /// were known to be harmless when the first loss was recorded.
    std::vector<crashes::prompt_part> parts_;
    std::optional<trial> trial_;
    /// When the loss of the latest group was recorded.
    wall_time lost_at_;

    friend bool
    operator==(const suspect_record&, const suspect_record&) = default;
};


/// Returns true when every daemon must refuse the request.
bool is_quarantined(const suspect_record& record) noexcept;


/// Serialises a record as JSON.
std::string encode(const suspect_record& record);


/// Parses a record from JSON. Fails with problem code corrupt when the text is
/// not a suspect record.
base::result<suspect_record> decode_suspect(std::string_view text);

} // namespace monsoondock::quarantine
