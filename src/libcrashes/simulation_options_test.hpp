#pragma once

#include <monsoondock/crashes/prompt_part.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <optional>

namespace monsoondock::crashes::test {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds step = 20ms;
constexpr milliseconds gossip_period = 1000ms;
constexpr milliseconds settle_time = 3000ms;
constexpr milliseconds response_time = 1000ms;
constexpr milliseconds crash_delay = 80ms;
constexpr milliseconds host_restart_time = 3000ms;
constexpr milliseconds record_period = 500ms;
// A leader is elected and has read its record within this time.
constexpr milliseconds election_time = 1500ms;
// After a stop of all daemons, those that start within this time know no peer.
constexpr milliseconds discovery_time = 2000ms;
constexpr double message_loss = 0.05;
constexpr int known_crashes = 5;
constexpr int late_requests = 3;
// Sound requests are to be served from then on after the last known crash.
constexpr milliseconds clearing_time = 6000ms;
constexpr std::size_t min_judged = 20;
constexpr int max_sends = 2;
constexpr std::array<double, 3> crashing_rates{0.7, 3, 12};
constexpr prompt_part common_part = 1;
constexpr prompt_part first_crashing_part = 2;
constexpr prompt_part part_of_others = 50;
constexpr prompt_part first_sound_part = 100;
constexpr unsigned sound_parts = 30;


enum class variant
{
    correct,
    /// Injected fault: crashes are counted by whole requests.
    by_request,
    /// Injected fault: completed requests clear nothing.
    no_survivors,
    /// Injected fault: quarantined parts are not repeated to daemons that have
    /// missed the crashes.
    no_gossip,
    /// Injected fault: nothing of the quarantine is kept in the store.
    no_record,
    /// Injected fault: only daemons that complete other requests reject any.
    only_in_traffic,
    /// Injected fault: each part of a quarantined set is quarantined by itself.
    single_parts,
    /// Injected fault: nothing is sent as a trial.
    no_trials
};


struct simulation_options
{
    std::size_t daemons_ = 4;
    variant variant_ = variant::correct;
    std::size_t hosts_ = 40;
    milliseconds time_ = 60s;
    double sound_per_second_ = 80;
    /// Drawn from the seed if it is not given.
    std::optional<double> crashing_per_second_;
    milliseconds crashing_from_ = 5s;
    /// Requests that have no part in common with the others.
    double others_per_second_ = 0;
    /// When the sound requests begin.
    milliseconds sound_from_{0};
    std::size_t crashing_parts_ = 1;
    /// True when daemons are stopped and cut off.
    bool disturbed_ = true;
    /// Number of times at which a third of the hosts end at once.
    std::size_t herds_ = 1;
    /// When all hosts end at once.
    std::optional<milliseconds> all_end_at_;
    /// Share of sound requests that may be rejected, once so many were sent.
    double max_rejected_ = 0.05;
    int min_sent_ = 500;
    /// Requests that were lost are sent once more.
    bool repeats_ = false;
};

} // namespace monsoondock::crashes::test
