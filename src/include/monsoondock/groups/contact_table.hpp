#pragma once

#include <monsoondock/groups/host_report.hpp>

#include <map>
#include <optional>

namespace monsoondock::groups {

/// Results of the status probes that one daemon sent, by host.
class contact_table
{
public:
    /// Records the answer to a probe. An answer to an older probe than the one
    /// on record is dropped.
    void record_report(const base::host_id& host, const host_report& report);


    /// Records that a probe sent at sent_at got no valid answer.
    void
    record_probe_failure(const base::host_id& host, base::time_point sent_at);


    /// Returns the results for a host; both members are empty when it was never
    /// probed.
    host_contact find(const base::host_id& host) const;


    /// Returns true when a probe sent at since or later was answered.
    bool
    answered_since(const base::host_id& host, base::time_point since) const;

private:
    std::map<base::host_id, host_contact> contacts_;
};

} // namespace monsoondock::groups
