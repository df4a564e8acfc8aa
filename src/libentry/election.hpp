#pragma once

#include <monsoondock/base/boot_clock.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace monsoondock::entry::pvt {

/// A leader without heartbeats for this time is considered failed. Each daemon
/// waits rank_delay longer than its predecessor by precedence, so that they
/// don't all try to become leader at once.
inline constexpr std::chrono::milliseconds heartbeat_timeout{1000};
inline constexpr std::chrono::milliseconds rank_delay{250};


/// A leader that has not reached the store for this time is replaced by a
/// daemon that does. Leaves time to tell all daemons within the drain time
/// which hosts have left since.
inline constexpr std::chrono::milliseconds max_leader_store_outage{1500};


/// Number of daemons, the first by precedence, that try to replace a leader
/// which sends heartbeats. The others don't add to the load of a store that
/// nobody reaches.
inline constexpr std::size_t store_outage_candidates = 4;


/// Orders are begun only within this time after a write of the leader record.
inline constexpr std::chrono::milliseconds confirmation_validity{500};


/// Time to connect to the host of an order, which is sent after it.
inline constexpr std::chrono::milliseconds order_connect_timeout{300};


/// Time that a new leader waits after its write of the record before its first
/// order. It outlasts the last order that the previous leader may send, so that
/// a host does not receive orders of both at the same time.
inline constexpr std::chrono::milliseconds takeover_delay{900};


/// What a daemon that does not lead knows about the leader.
struct leader_knowledge
{
    /// Live daemons that take precedence over this one.
    std::size_t rank_ = 0;
    /// Term of the leader; 0 when none is known.
    std::uint64_t term_ = 0;
    /// True on the first start of the system, until its first leader has had
    /// the time to send a heartbeat.
    bool first_start_ = false;
    /// True when the leader has announced that it is stopping.
    bool resigned_ = false;
    /// When this daemon started.
    base::time_point started_at_;
    /// Arrival of the latest heartbeat.
    base::time_point last_heartbeat_at_;
    /// When the leader last received a response from the store.
    base::time_point store_contact_at_;
};


/// Returns true when the daemon is to try to become leader.
bool is_election_due(const leader_knowledge& k, base::time_point now);

} // namespace monsoondock::entry::pvt
