#include <monsoondock/admission/decision.hpp>
#include <monsoondock/admission/distribution.hpp>

#include <algorithm>
#include <cmath>

namespace monsoondock::admission {

namespace {

// By how much of its target the most urgent request may be predicted to miss it
// and still be admitted to a queue; half of it for the next priority, a third
// for the one after that. At 0.15, at 1.3 times the capacity, 41 in 100
// simulated callers were served on time instead of 49, because the queue
// settles at the longest one that is allowed.
constexpr double lateness_allowance = 0.05;
// Predicted lateness beyond that at which all requests are refused, unless the
// load reports are older. At 300 ms, at 1.3 times the capacity, 39 in 100
// simulated callers were served on time instead of 49: many daemons that see
// the same old reports refuse nearly all requests at once, and admit all of
// them when the queue has become short.
constexpr milliseconds full_refusal{600};
constexpr double report_ages_to_full_refusal = 2;
// The share of the requests that are refused first is measured from about ten
// arrivals. Without this factor, one that is measured too low has requests of
// other workspaces refused: 13 in 100 instead of 6 in the simulation of a
// workspace at ten times its share.
constexpr double refused_first_bias = 1.2;
// Callers that were refused together return within at least this time.
constexpr milliseconds min_retry_spread{200};


// Returns the least predicted time to the first event of any upstream.
milliseconds least_time(const arrival& request, const conditions& known)
{
    milliseconds least = milliseconds::max();
    for (const upstream_load& u : known.upstreams_)
        least = std::min(
            least, total(predict(u, known.load_, request.prompt_tokens_)));
    return least;
}


/// What a request can expect, as the mean over the upstreams that it may be
/// sent to, weighted by their probabilities.
struct expectation
{
    /// For a prompt of the request's own length.
    prediction own_;
    /// For a prompt of mean length.
    prediction mean_;
};


void add(prediction& sum, const prediction& p, double weight)
{
    sum.slot_wait_ += p.slot_wait_ * weight;
    sum.start_ += p.start_ * weight;
}


// While reports are on their way, all daemons fill the same upstreams, and
// requests are completed.
expectation expect(const arrival& request, const conditions& known)
{
    double completions = 0;
    for (const upstream_load& u : known.upstreams_)
        completions += completions_per_second(u.times_);
    const double seconds =
        std::chrono::duration<double>(known.report_age_).count();
    // No more are admitted than are completed.
    const double admitted = std::min(1.0, known.load_.total_);
    const double unreported = std::max(1.0, completions * seconds * admitted);
    const std::vector<double> arrivals =
        distribute(known.upstreams_, unreported);
    expectation result;
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        if (arrivals[i] <= 0)
            continue;
        upstream_load u = known.upstreams_[i];
        const double completed = completions_per_second(u.times_) * seconds;
        u.requests_ =
            std::max(0.0, u.requests_ + (arrivals[i] - completed) / 2);
        // Daemons choose independently of each other.
        u.variance_ = arrivals[i] / 2;
        const double part = arrivals[i] / unreported;
        add(result.own_, predict(u, known.load_, request.prompt_tokens_), part);
        add(result.mean_,
            predict(u, known.load_, u.times_.mean_prompt_tokens_),
            part);
    }
    return result;
}


milliseconds allowance(const arrival& request)
{
    return request.target_ * (lateness_allowance / (1 + request.priority_));
}


// Returns how much later than its target a request of mean size would get its
// first event because of the queue. The queue is not to blame for a target that
// can't be met without it.
milliseconds
lateness_by_queue(const arrival& request, const prediction& of_mean_size)
{
    const milliseconds room =
        std::max(milliseconds{0}, request.target_ - of_mean_size.start_);
    return of_mean_size.slot_wait_ - room - allowance(request);
}


// Returns the part of all requests that is to be refused: those that exceed
// what the upstreams complete, and more the longer the queue is.
double refused_part(const conditions& known, milliseconds lateness)
{
    const milliseconds full =
        std::max(full_refusal, known.report_age_ * report_ages_to_full_refusal);
    const double excess =
        known.load_.total_ > 1 ? 1 - 1 / known.load_.total_ : 0;
    return std::clamp(excess + lateness / full, 0.0, 1.0);
}


// Divides the refusals between the requests that are refused first and the
// others.
double refusal_probability(
    const arrival& request, const conditions& known, double part)
{
    const double first = std::clamp(known.refused_first_share_, 0.0, 1.0);
    if (request.over_share_ || request.returned_)
        return first > 0 ? std::min(1.0, refused_first_bias * part / first)
                         : part;
    return first < 1
               ? std::max(
                     0.0, (part - refused_first_bias * first) / (1 - first))
               : part;
}


// Returns when the queue is expected to be short enough, spread over the time
// in which it drains. While more requests arrive than are completed, that is
// not known, and callers are spread over the time that they have. The spread
// begins at half of that time at the latest, so that it is never empty.
std::chrono::milliseconds retry_after(
    const arrival& request,
    const conditions& known,
    milliseconds slot_wait,
    milliseconds lateness,
    double fraction)
{
    const milliseconds longest =
        std::max(milliseconds{0}, request.longest_return_);
    const milliseconds first =
        std::clamp(lateness, milliseconds{0}, longest / 2);
    milliseconds spread = std::max(min_retry_spread, slot_wait);
    if (known.load_.total_ > 1)
        spread = std::max(spread, longest - first);
    return std::chrono::floor<std::chrono::milliseconds>(
        std::min(first + spread * fraction, longest));
}

} // namespace

decision decide(const arrival& request, const conditions& known)
{
    if (known.upstreams_.empty())
        return {};
    const expectation expected = expect(request, known);
    const milliseconds time = total(expected.own_);
    decision result;
    result.predicted_ = std::clamp(
        time, milliseconds{0}, std::max(milliseconds{0}, request.time_left_));
    const milliseconds wait = expected.own_.slot_wait_;
    if (wait.count() <= 0 || time <= request.target_)
        return result;
    const milliseconds lateness = lateness_by_queue(request, expected.mean_);
    double probability = 0;
    if (least_time(request, known) >= request.time_left_) {
        probability = 1;
        result.refusal_ = refusal_reason::too_late;
    } else if (lateness.count() > 0) {
        probability =
            refusal_probability(request, known, refused_part(known, lateness));
        if (request.random_fraction_ < probability)
            result.refusal_ = request.over_share_ ? refusal_reason::over_share
                                                  : refusal_reason::queue_full;
    }
    if (result.refusal_)
        result.retry_after_ = retry_after(
            request,
            known,
            wait,
            lateness,
            request.random_fraction_ / probability);
    return result;
}

} // namespace monsoondock::admission
