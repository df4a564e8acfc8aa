#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/generation.hpp>
#include <monsoondock/base/identifier.hpp>
#include <monsoondock/groups/host_report.hpp>

#include <map>
#include <optional>

namespace monsoondock::groups {

/// The latest evidence that a host was ready as a member of a group.
struct host_evidence
{
    base::group_id group_;
    base::generation generation_;
    /// Lower bound of the time at which the host was last ready, on the clock
    /// of the daemon that holds this evidence.
    base::time_point observed_at_;
};


/// The latest evidence of readiness of each host. Times are lower bounds: an
/// answer counts from the sending of its probe, and evidence relayed by a peer
/// from the sending of the health request, less the age that the peer reports.
class evidence_table
{
public:
    /// Records the host's own answer to a probe. A host that is ready gives
    /// evidence. A host that reports any other phase, or an older generation
    /// than the evidence on record, is invalidated.
    void record_report(const base::host_id& host, const host_report& report);


    /// Records evidence that host was ready. Evidence is dropped if it is not
    /// newer than the last invalidation. Otherwise a higher generation replaces
    /// a lower one whatever their times, and within one generation and group
    /// the newer evidence replaces the older.
    void record_ready(const base::host_id& host, const host_evidence& evidence);


    /// Removes the evidence about host. Evidence from now or earlier is refused
    /// from then on, so that a relayed reply cannot restore it.
    void invalidate_host(const base::host_id& host, base::time_point now);


    /// Returns the time of the latest evidence that host was ready in this
    /// group and generation, or nothing.
    std::optional<base::time_point> last_ready(
        const base::host_id& host,
        const base::group_id& group,
        base::generation generation) const;


    /// Removes a host that is no longer listed.
    void erase_host(const base::host_id& host);

private:
    struct host_entry
    {
        std::optional<host_evidence> evidence_;
        base::time_point invalidated_at_ = base::time_point::min();
    };

    std::map<base::host_id, host_entry> hosts_;
};

} // namespace monsoondock::groups
