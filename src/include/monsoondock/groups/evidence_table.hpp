#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/generation.hpp>
#include <monsoondock/base/identifier.hpp>
#include <monsoondock/groups/host_report.hpp>

#include <map>
#include <optional>

namespace monsoondock::groups {

/// The newest sign that a host was ready in a group.
struct host_evidence
{
    base::group_id group_;
    base::generation generation_;
    /// Time at which the host was surely ready or later, on the clock of the
    /// daemon that holds this evidence.
    base::time_point seen_;
};


/// Evidence of life of each host. Times are lower bounds: an answer counts
/// from the sending of its request, a relayed one from the sending of the
/// request for it less the age that the relay gives.
class evidence_table
{
public:
    /// Takes the host's own answer to a probe. Ready counts as a sign; any
    /// other state, and an older group than the one held, counts as broken.
    void record_report(const base::host_id& host, const host_report& report);


    /// Takes a sign that host was ready in group at seen or later. Older signs
    /// than the one held, and signs not newer than a failure, are dropped; a
    /// sign of a higher generation always replaces.
    void record_ready(const base::host_id& host, const host_evidence& evidence);


    /// Removes the evidence about host at once. Signs from before now stay
    /// refused, so that a relay cannot bring them back.
    void invalidate_host(const base::host_id& host, base::time_point now);


    /// Returns the time of the evidence that host is ready in this group and
    /// generation, or nothing.
    std::optional<base::time_point> last_ready(
        const base::host_id& host,
        const base::group_id& group,
        base::generation generation) const;


    /// Forgets hosts that are no longer listed.
    void forget(const base::host_id& host);

private:
    struct row
    {
        std::optional<host_evidence> evidence_;
        base::time_point broken_at_ = base::time_point::min();
    };

    std::map<base::host_id, row> rows_;
};

} // namespace monsoondock::groups
