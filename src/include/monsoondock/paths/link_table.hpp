#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/identifier.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace monsoondock::paths {

/// A host counts as reached for this time after it accepted a connection.
inline constexpr std::chrono::milliseconds reached_memory{2000};


/// Number of hosts to test at a time while links are cut, and after one of them
/// has been restored.
inline constexpr std::size_t tests_while_cut = 8;
inline constexpr std::size_t tests_while_restoring = 32;


/// Links of this daemon to hosts, as shown by new connections.
class link_table
{
public:
    /// Records that the host accepted a connection of this daemon.
    void record_reached(const base::host_id& host, base::time_point now);


    /// Records that the link to the host is cut.
    void record_cut(const base::host_id& host, base::time_point now);


    /// Records that the host accepts no connections of anybody, so that nothing
    /// is known of the link to it.
    void record_failed(const base::host_id& host)
    {
        cut_.erase(host);
    }


    /// Returns true when the link to the host is cut.
    bool is_cut(const base::host_id& host) const
    {
        return cut_.contains(host);
    }


    /// Returns true when the host accepted a connection since a time.
    bool reached_since(const base::host_id& host, base::time_point time) const;


    /// Returns true when any other host did.
    bool
    reached_other_since(const base::host_id& host, base::time_point time) const;


    bool has_cut_links() const noexcept
    {
        return !cut_.empty();
    }


    /// Returns true when the links to nearly all hosts are cut: to four times
    /// as many as were reached lately, and to three at least or all that are
    /// listed.
    bool is_cut_off(
        const std::set<base::host_id>& listed, base::time_point now) const;


    /// Returns the listed hosts to which requests are not to be sent: those
    /// whose links are cut, and if nearly all are, all that have not been
    /// reached since.
    std::set<base::host_id> unusable_hosts(
        const std::set<base::host_id>& listed, base::time_point now) const;


    /// Returns the listed hosts whose links are to be tested next, those first
    /// that were not tested for longest; more at a time once a link has been
    /// restored. Forgets hosts that are not listed.
    std::vector<base::host_id>
    take_tests(const std::set<base::host_id>& listed, base::time_point now);

private:
    struct link
    {
        base::time_point reached_at_;
        base::time_point tested_at_;
    };

    std::map<base::host_id, link> links_;
    /// Hosts whose links are cut, with the time at which that was found.
    std::map<base::host_id, base::time_point> cut_;
    /// When a cut link was last found restored.
    base::time_point restored_at_;
};

} // namespace monsoondock::paths
