#pragma once

#include <monsoondock/base/identifier.hpp>

#include <cstddef>

namespace monsoondock::paths {

/// What a daemon that was asked about a host has found. It tries to connect to
/// the host, and to some other hosts if that fails.
enum class peer_finding
{
    /// The host accepted a connection.
    reached,
    /// The host did not, but another host did meanwhile.
    not_reached,
    /// No host did, so the daemon may have no links itself.
    unknown
};


/// What a daemon concludes about a host.
enum class conclusion
{
    /// The host accepts connections of this daemon.
    reached,
    /// Findings of peers are still awaited.
    pending,
    /// The host accepts connections of other daemons: the link of this daemon
    /// is cut.
    link_cut,
    /// The host accepts no connections.
    host_failed,
    /// Nobody who was asked can tell. The host is not to be blamed, and the
    /// link to it not to be used until a test shows that it is open.
    unresolved
};


/// Evidence about one host to which this daemon could not connect at first.
struct host_check
{
    /// True when the host has accepted a later connection of this daemon.
    bool reached_ = false;
    /// Number of peers that were asked, and that have answered.
    std::size_t asked_ = 0;
    std::size_t answered_ = 0;
    /// Whether any of them reached the host, and whether any failed to although
    /// it reached another one.
    bool reached_by_peer_ = false;
    bool missed_by_peer_ = false;
    /// True when this daemon itself could connect to another host after it had
    /// failed to connect to this one.
    bool reached_other_host_ = false;
};


/// Records the finding of one peer.
void add_finding(host_check& check, peer_finding finding);


/// Returns what follows from the evidence. When time_is_over, peers that have
/// not answered are no longer waited for.
///
/// One peer that reaches the host shows that it is alive, whatever others
/// found: a cut may concern several daemons at once. A host is blamed only on
/// the word of a daemon that reached another host at the same time.
conclusion conclude(const host_check& check, bool time_is_over);


/// Returns the names of a finding or conclusion as they appear in logs.
const char* to_string(peer_finding finding) noexcept;
const char* to_string(conclusion c) noexcept;

} // namespace monsoondock::paths
