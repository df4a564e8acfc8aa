#include <monsoondock/hostpace/compare.hpp>
#include <monsoondock/hostpace/pace_state.hpp>

#include <criterion/criterion.h>

#include <cmath>
#include <limits>

using namespace monsoondock;
using namespace monsoondock::hostpace;
using namespace std::chrono_literals;

namespace {

const base::time_point start{1000s};
constexpr unsigned slots = 32;
constexpr fractional_ms expected_interval{50};
constexpr auto step = 25ms;


/// An upstream that sends the events of some streams to one daemon, on injected
/// time.
struct upstream_model
{
    explicit upstream_model(base::time_point at = start) : now_(at)
    {
        update(state_, now_);
    }

    pace_state state_;
    base::time_point now_;
    unsigned streams_ = 1;
    unsigned load_ = 8;
    double pace_ = 1;
    double since_event_ms_ = 0;


    void run(std::chrono::milliseconds time)
    {
        for (const auto end = now_ + time; now_ < end;) {
            now_ += step;
            since_event_ms_ += double(step.count());
            if (since_event_ms_ >= pace_ * expected_interval.count()) {
                for (unsigned i = 0; i < streams_; ++i)
                    add_sample(
                        state_,
                        {load_,
                         slots,
                         fractional_ms(since_event_ms_),
                         expected_interval},
                        now_);
                since_event_ms_ = 0;
            }
            update(state_, now_);
        }
    }


    void run_idle(std::chrono::milliseconds time)
    {
        for (const auto end = now_ + time; now_ < end;) {
            now_ += step;
            update(state_, now_);
        }
    }
};

} // namespace

// A straggler that is found late keeps getting requests that it serves late.
Test(pace_state, a_straggler_is_found_from_one_stream_within_half_a_second)
{
    upstream_model u;
    u.run(2000ms);
    cr_assert_float_eq(factor(u.state_), 1, 0.05);
    u.pace_ = 4;
    u.run(500ms);
    cr_assert_gt(factor(u.state_), slow_factor);
    u.run(1000ms);
    cr_assert_gt(factor(u.state_), 3);
}


// A lost packet or a pause of the daemon must not mark an upstream as slow.
Test(pace_state, one_late_event_is_no_straggler)
{
    upstream_model u;
    u.run(2000ms);
    add_sample(u.state_, {8, slots, 400ms, expected_interval}, u.now_);
    for (int i = 0; i < 4; ++i) {
        u.run_idle(step);
        cr_assert_lt(factor(u.state_), slow_factor);
    }
    u.run(1000ms);
    cr_assert_lt(factor(u.state_), normal_factor);
}


Test(pace_state, an_upstream_that_recovers_is_trusted_again_within_seconds)
{
    upstream_model u;
    u.pace_ = 4;
    u.run(4000ms);
    const double slow = factor(u.state_);
    u.pace_ = 1;
    u.run(500ms);
    // All daemons see the recovery at once; they must not rush to it.
    cr_assert_gt(factor(u.state_), slow / 2);
    u.run(3000ms);
    cr_assert_lt(factor(u.state_), normal_factor);
}


// What was measured before a daemon was cut off from its peers, or stopped to
// use an upstream, must not hold for ever.
Test(pace_state, without_evidence_the_largest_factor_ends_within_30_s)
{
    upstream_model u;
    u.pace_ = 4;
    u.run(4000ms);
    u.state_.log_factor_ = std::log2(max_factor);
    u.run_idle(5000ms);
    cr_assert_gt(factor(u.state_), slow_factor);
    u.run_idle(25000ms);
    cr_assert_lt(factor(u.state_), normal_factor);
    cr_assert(own_sums(u.state_, u.now_) == pace_sums{});
}


Test(pace_state, evidence_of_peers_counts_without_own_and_fades)
{
    upstream_model u;
    upstream_model peer;
    peer.pace_ = 4;
    peer.run(2000ms);
    u.now_ = peer.now_;
    update(u.state_, u.now_);
    set_peer_sums(u.state_, {"peer"}, own_sums(peer.state_, peer.now_), u.now_);
    u.run_idle(500ms);
    cr_assert_gt(factor(u.state_), slow_factor);
    u.run_idle(30000ms);
    cr_assert_lt(factor(u.state_), normal_factor);
    cr_assert(u.state_.peers_.empty());
}


Test(pace_state, a_host_that_slows_down_from_half_load_on_gets_a_limit)
{
    upstream_model u;
    u.load_ = 10;
    u.run(1000ms);
    cr_assert_eq(limit(u.state_, slots, u.now_), slots);
    // The load goes up and down around the point from which it is slow.
    for (int i = 0; i < 10; ++i) {
        u.load_ = 20;
        u.pace_ = 3;
        u.run(300ms);
        u.load_ = 14;
        u.pace_ = 1;
        u.run(300ms);
    }
    cr_assert_leq(limit(u.state_, slots, u.now_), 0.6 * slots);
    cr_assert_geq(limit(u.state_, slots, u.now_), min_limit_share * slots);
    // Below that point it is as fast as others.
    u.run(3000ms);
    cr_assert_lt(factor(u.state_), normal_factor);
    u.run(10000ms);
    cr_assert_eq(limit(u.state_, slots, u.now_), slots);
}


Test(pace_state, a_straggler_of_any_load_keeps_its_limit)
{
    upstream_model u;
    u.pace_ = 4;
    for (const unsigned load : {30U, 20U, 10U, 4U}) {
        u.load_ = load;
        u.run(1000ms);
    }
    cr_assert_gt(limit(u.state_, slots, u.now_), 0.9 * slots);
}


Test(pace_state, a_restarted_host_begins_at_1_with_a_slow_start)
{
    upstream_model u;
    u.pace_ = 4;
    u.run(4000ms);
    set_peer_sums(u.state_, {"peer"}, own_sums(u.state_, u.now_), u.now_);
    restart(u.state_, u.now_);
    u.run_idle(100ms);
    cr_assert_eq(factor(u.state_), 1);
    const double at_first = limit(u.state_, slots, u.now_);
    cr_assert_leq(at_first, 0.3 * slots);
    u.run_idle(1000ms);
    cr_assert_gt(limit(u.state_, slots, u.now_), at_first);
    u.run_idle(1000ms);
    cr_assert_eq(limit(u.state_, slots, u.now_), slots);
}


// Probes are requests of callers. Without a bound, each daemon of a large
// cluster would send its own at the same time.
Test(pace_state, many_daemons_together_probe_twice_a_second)
{
    constexpr unsigned daemons = 58;
    std::vector<upstream_model> all(daemons);
    unsigned probes = 0;
    double random = 0;
    for (upstream_model& u : all) {
        u.run_idle(step);
        take_probe(u.state_, daemons, 1, u.now_);
        // Eight requests a second at each daemon.
        for (int i = 0; i < 80; ++i) {
            u.run_idle(125ms);
            random += 0.618034;
            random -= random >= 1 ? 1 : 0;
            probes += take_probe(u.state_, daemons, random, u.now_) ? 1 : 0;
        }
    }
    // Over 10 s.
    cr_assert_geq(probes, 10);
    cr_assert_leq(probes, 30);
}


Test(pace_state, an_upstream_with_recent_evidence_is_not_probed)
{
    upstream_model u;
    u.pace_ = 4;
    u.run(2000ms);
    cr_assert_not(take_probe(u.state_, 1, 0, u.now_));
    u.run_idle(8000ms);
    cr_assert(take_probe(u.state_, 1, 0, u.now_));
    cr_assert_not(take_probe(u.state_, 1, 0, u.now_));
}


Test(pace_state, unusable_evidence_is_invalid)
{
    const double bad[] = {
        0,
        -1,
        1e30,
        std::numeric_limits<double>::infinity(),
        std::numeric_limits<double>::quiet_NaN()};
    pace_sums sums;
    cr_assert_not(is_valid(sums));
    sums.levels_[1] = {10, 20};
    cr_assert(is_valid(sums));
    for (const double x : bad) {
        sums.levels_[2] = {10, x};
        cr_assert_not(is_valid(sums));
        sums.levels_[2] = {x, 10};
        cr_assert_not(is_valid(sums));
    }
}


Test(pace_state, samples_without_an_expectation_are_ignored)
{
    upstream_model u;
    for (const double expected : {0.0, -1.0})
        add_sample(
            u.state_, {1, slots, 100ms, fractional_ms(expected)}, u.now_);
    cr_assert(u.state_.own_.sums_ == pace_sums{});
}
