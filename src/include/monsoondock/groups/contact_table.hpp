#pragma once

#include <monsoondock/groups/host_report.hpp>

#include <map>
#include <optional>

namespace monsoondock::groups {

/// What one daemon learned from its own probes, by host.
class contact_table
{
public:
    /// Takes an answer. Answers that arrive out of order are dropped.
    void record_report(const base::host_id& host, const host_report& report);


    /// Takes a probe that left at asked and got no answer.
    void
    record_probe_failure(const base::host_id& host, base::time_point asked);


    /// Returns what is known of a host; empty when nothing.
    host_contact find(const base::host_id& host) const;


    /// Returns true when a probe that left after since was answered.
    bool
    answered_since(const base::host_id& host, base::time_point since) const;

private:
    std::map<base::host_id, host_contact> contacts_;
};

} // namespace monsoondock::groups
