#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/membership/member_record.hpp>

#include <cstdint>
#include <optional>
#include <variant>

namespace monsoondock::membership {

/// A member entered the table, changed its state or came back with a higher
/// incarnation.
struct member_changed
{
    member_record record_;
    /// State before the change; nothing for a new member.
    std::optional<member_state> previous_;
};


/// A member told a newer status in the same state.
struct status_changed
{
    base::daemon_id id_;
    member_status status_;
};


/// Some daemon has a settings revision higher than any heard of before.
struct revision_seen
{
    std::uint64_t settings_revision_ = 0;
    /// Peer endpoint of the daemon that told it.
    endpoint from_;
};


/// A dead member was dropped from the table.
struct member_forgotten
{
    base::daemon_id id_;
};


/// The node refuted a claim that it is suspect or dead.
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


/// What a step of a node tells its owner.
using member_event = std::variant<
    member_changed,
    status_changed,
    revision_seen,
    member_forgotten,
    self_refuted,
    pause_detected>;

} // namespace monsoondock::membership
