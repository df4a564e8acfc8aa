#include <monsoondock/hostpace/pace_state.hpp>

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace monsoondock::hostpace {

namespace {

// Largest sum of a level, observed and expected: about five events of one
// stream. More would delay the finding of a straggler.
constexpr double max_level_ms = 400;
// Weight of the assumption that an upstream has the expected pace.
constexpr double prior_ms = 20;
// Expected time below which there is no evidence, and above which the pace at
// one level of load is compared with that at another.
constexpr double min_evidence_ms = 5;
constexpr double min_level_evidence_ms = 30;
// Level below which a sum is too small to be sent to peers.
constexpr double min_reported_ms = 0.1;
// Events that arrive together would otherwise count as infinitely fast.
constexpr double min_sample_share = 0.01;
// A sample above this multiple of the expected time is an outlier unless the
// previous one was above it too; an outlier counts as this multiple.
constexpr double outlier_factor = 1.5;
// An upstream that is slower by this factor than at a lower load is too full.
constexpr double overload_factor = 1.5;
// Times for a change of the pace factor by a factor of two.
constexpr std::chrono::milliseconds slowing_time{100};
constexpr std::chrono::milliseconds recovery_time{1000};
// Without evidence, an upstream of the largest factor counts as recovered after
// four times this, within 30 s.
constexpr std::chrono::milliseconds forgetting_time{6000};
// Time after which measurements have no weight left.
constexpr std::chrono::seconds unused_time{10};
// Change of the limit in parts of the slots per second.
constexpr double limit_fall_per_s = 0.5;
constexpr double limit_rise_per_s = 0.1;


bool has_weight(const level_sums& l)
{
    return l.expected_ms_ >= min_evidence_ms;
}


pace_sums all_evidence(const pace_state& s, base::time_point now)
{
    pace_sums sums = decayed(s.own_.sums_, now - s.own_.at_);
    for (const auto& [source, reported] : s.peers_)
        add(sums, decayed(reported.sums_, now - reported.at_));
    return sums;
}


// Most upstreams have the expected pace most of the time.
bool is_at_rest(const pace_state& s)
{
    return s.log_factor_ == 0 && s.limit_share_ == 1 && s.peers_.empty() &&
           s.own_.sums_ == pace_sums{};
}


void forget_old_sums(pace_state& s, base::time_point now)
{
    std::erase_if(s.peers_, [now](const auto& entry) {
        const dated_sums& d = entry.second;
        return !has_weight(total(decayed(d.sums_, now - d.at_)));
    });
    if (now - s.own_.at_ > unused_time)
        s.own_.sums_ = {};
}


double shown_log_factor(const level_sums& sums)
{
    const double shown =
        (sums.observed_ms_ + prior_ms) / (sums.expected_ms_ + prior_ms);
    return std::log2(std::clamp(shown, min_factor, max_factor));
}


void move_factor(
    pace_state& s, const level_sums& evidence, fractional_ms passed)
{
    const bool known = has_weight(evidence);
    const double target = known ? shown_log_factor(evidence) : 0;
    const auto doubling = !known                   ? forgetting_time
                          : target > s.log_factor_ ? slowing_time
                                                   : recovery_time;
    const double step = passed / fractional_ms(doubling);
    s.log_factor_ += std::clamp(target - s.log_factor_, -step, step);
}


// Returns the part of the slots up to which the upstream keeps the pace that it
// has at a lower load.
double shown_limit_share(const pace_sums& sums)
{
    std::optional<double> lowest;
    for (std::size_t i = 0; i < load_levels; ++i) {
        const level_sums& l = sums.levels_.at(i);
        if (l.expected_ms_ < min_level_evidence_ms)
            continue;
        const double pace = l.observed_ms_ / l.expected_ms_;
        if (!lowest)
            lowest = pace;
        else if (pace > overload_factor * *lowest)
            return double(i) / load_levels;
    }
    return 1;
}


void move_limit(pace_state& s, const pace_sums& evidence, fractional_ms passed)
{
    const double target =
        std::max(min_limit_share, shown_limit_share(evidence));
    const double seconds = passed / std::chrono::seconds(1);
    s.limit_share_ += std::clamp(
        target - s.limit_share_,
        -limit_fall_per_s * seconds,
        limit_rise_per_s * seconds);
}


// Scales down a level whose weight exceeds the largest.
void bound(level_sums& l)
{
    const double weight = l.observed_ms_ + l.expected_ms_;
    if (weight <= max_level_ms)
        return;
    l.observed_ms_ *= max_level_ms / weight;
    l.expected_ms_ *= max_level_ms / weight;
}

} // namespace

void add_sample(pace_state& s, const pace_sample& sample, base::time_point now)
{
    const double expected = sample.expected_.count();
    if (!(expected > 0))
        return;
    double observed =
        std::max(min_sample_share * expected, sample.observed_.count());
    const double threshold = outlier_factor * expected;
    const bool outlier = observed > threshold;
    if (outlier && !s.outlier_)
        observed = threshold;
    s.outlier_ = outlier;
    s.own_.sums_ = decayed(s.own_.sums_, now - s.own_.at_);
    s.own_.at_ = now;
    level_sums& l =
        s.own_.sums_.levels_.at(load_level(sample.load_, sample.slots_));
    l.observed_ms_ += observed;
    l.expected_ms_ += expected;
    bound(l);
}


void set_peer_sums(
    pace_state& s,
    const base::daemon_id& source,
    const pace_sums& sums,
    base::time_point now)
{
    s.peers_[source] = {sums, now};
}


pace_sums own_sums(const pace_state& s, base::time_point now)
{
    pace_sums sums = decayed(s.own_.sums_, now - s.own_.at_);
    if (!has_weight(total(sums)))
        return {};
    for (level_sums& l : sums.levels_) {
        if (l.expected_ms_ < min_reported_ms)
            l = {};
    }
    return sums;
}


void update(pace_state& s, base::time_point now)
{
    const bool first = s.updated_at_ == base::time_point();
    const fractional_ms passed = now - std::exchange(s.updated_at_, now);
    if (first)
        return;
    if (is_at_rest(s))
        return;
    forget_old_sums(s, now);
    const pace_sums evidence = all_evidence(s, now);
    if (has_weight(total(evidence)))
        s.probe_considered_at_ = now;
    move_factor(s, total(evidence), passed);
    move_limit(s, evidence, passed);
}


double factor(const pace_state& s) noexcept
{
    return std::exp2(s.log_factor_);
}


double limit(const pace_state& s, unsigned slots, base::time_point now)
{
    double share = s.limit_share_;
    if (s.restarted_at_ != base::time_point()) {
        const double grown = fractional_ms(now - s.restarted_at_) /
                             fractional_ms(slow_start_time);
        share *= std::clamp(grown, min_limit_share, 1.0);
    }
    return std::max(1.0, share * slots);
}


void restart(pace_state& s, base::time_point now)
{
    s = {};
    s.restarted_at_ = now;
}


bool must_report(const pace_state& s) noexcept
{
    return s.slow_ || s.relative_ > normal_factor ||
           s.relative_ < 1 / normal_factor || s.limit_share_ < 1;
}


bool take_probe(
    pace_state& s, unsigned daemons, double random, base::time_point now)
{
    if (has_weight(total(all_evidence(s, now))))
        return false;
    const fractional_ms passed =
        now - std::exchange(s.probe_considered_at_, now);
    return random * std::max(1U, daemons) * fractional_ms(probe_period) <
           passed;
}

} // namespace monsoondock::hostpace
