#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/base/result.hpp>
#include <monsoondock/quarantine/group_instance.hpp>
#include <monsoondock/quarantine/suspect_fingerprint.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace monsoondock::quarantine {

/// Number of lost groups after which a request is refused.
inline constexpr std::size_t QUARANTINE_LOSSES = 2;

/// Time of day in a record; decides only when a trial is overdue.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;


/// Leave to run a suspect once more, on one group.
struct trial
{
    group_instance group_;
    base::daemon_id daemon_;
    /// Unique to this trial.
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
    std::optional<trial> trial_;
    /// When the latest group was lost.
    wall_time lost_at_;

    friend bool
    operator==(const suspect_record&, const suspect_record&) = default;
};


/// Returns true when the request is refused by every daemon.
bool is_quarantined(const suspect_record& record) noexcept;


/// Returns the JSON text of a record.
std::string encode(const suspect_record& record);


/// Reads a record back. Problem code corrupt: the text is not a suspect.
base::result<suspect_record> decode_suspect(std::string_view text);

} // namespace monsoondock::quarantine
