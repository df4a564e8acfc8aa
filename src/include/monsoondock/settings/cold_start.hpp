#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/identifier.hpp>
#include <monsoondock/settings/revision_tracker.hpp>

#include <set>

namespace monsoondock::settings {

/// Answers that a daemon awaits after its start. It serves only once they rule
/// out that its peers have a newer revision in force.
struct cold_start
{
    /// Peers that were asked for their settings bundle and have not answered.
    std::set<base::daemon_id> asked_;
    /// True once a peer has answered.
    bool peer_answered_ = false;
    /// True once the head has been read from the store.
    bool store_answered_ = false;
    /// Time from which the answer of one peer suffices.
    base::time_point deadline_;
};


/// Records the answer of a peer, with or without a bundle.
void on_peer_answer(cold_start& start, const base::daemon_id& peer);


/// Returns true when the daemon may serve: a revision is in force, no higher
/// one is known, and the store has answered, or all peers asked, or at least
/// one peer and the deadline has passed.
bool may_serve(
    const cold_start& start,
    const revision_tracker& tracker,
    base::time_point now);

} // namespace monsoondock::settings
