#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/membership/member_record.hpp>

#include <cstdint>
#include <optional>
#include <variant>

namespace monsoondock::membership {

/// A member was added to the table, changed its state or has a higher
/// incarnation than before.
struct member_changed
{
    member_record record_;
    /// State before the change; nullopt for a new member.
    std::optional<member_state> previous_;
};


/// A newer status of a member arrived within the same incarnation.
struct status_changed
{
    base::daemon_id id_;
    member_status status_;
};


/// A daemon reported a settings revision higher than any known to this node.
struct revision_seen
{
    std::uint64_t settings_revision_ = 0;
    /// Peer endpoint of the daemon that reported the revision.
    endpoint from_;
};


/// A dead member was removed from the table after its retention period.
struct member_removed
{
    base::daemon_id id_;
};


/// The node refuted a claim that it is suspect or dead, by raising its
/// incarnation to incarnation_.
struct self_refuted
{
    incarnation incarnation_;
};


/// The process was paused for gap_, for example stopped or starved of CPU time.
/// Suspicion timers restart from now.
struct pause_detected
{
    base::duration gap_{};
};


/// Change that a step of a node reports to its owner.
using member_event = std::variant<
    member_changed,
    status_changed,
    revision_seen,
    member_removed,
    self_refuted,
    pause_detected>;

} // namespace monsoondock::membership
