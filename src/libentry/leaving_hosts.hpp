#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/fleet/host_info.hpp>

#include <chrono>
#include <cstdint>
#include <map>

namespace monsoondock::entry::pvt {

/// Remembers hosts that were leaving, so that an entry that shows them as
/// available again is not believed. A store that was restored from an older
/// copy has such entries. A host that has restarted is a new one.
class leaving_hosts
{
public:
    /// A leaving host has ended, and its entry has lapsed, within this time.
    static constexpr std::chrono::minutes retention{10};


    /// Records a host that is leaving. Hosts that don't report the start of
    /// their process can't be told from their successors and are not recorded.
    void add(const fleet::host_info& host, base::time_point now);


    /// Returns true when the host was leaving and has not restarted since.
    bool contains(const fleet::host_info& host) const;


    /// Forgets hosts that were recorded longer ago than the retention.
    void prune(base::time_point now);

private:
    struct record
    {
        std::int64_t process_start_ms_ = 0;
        base::time_point added_at_;
    };

    std::map<base::host_id, record> records_;
};

} // namespace monsoondock::entry::pvt
