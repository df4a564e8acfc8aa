#include <monsoondock/admission/prediction.hpp>

#include <algorithm>
#include <cmath>

namespace monsoondock::admission {

namespace {

// Lower bound of the part of the completions that is left for requests which
// are less urgent than others, so that a burst of urgent ones does not make the
// prediction infinite.
constexpr double min_remaining_part = 0.1;
// Four of five requests wait at most this part of the pass that runs as they
// arrive.
constexpr double remaining_pass = 0.8;
// Standard deviations by which four of five values of a normal distribution
// exceed its mean at most.
constexpr double margin = 0.84;


// Returns the number of waiting requests that start before a new one.
double requests_ahead(double waiting, const urgent_load& load)
{
    if (load.total_ <= 0 || load.up_to_ >= load.total_)
        return waiting;
    const double by_share = waiting * load.up_to_ / load.total_;
    if (load.up_to_ >= 1)
        return by_share;
    // Mean queue of the urgent requests alone, which pass all others.
    const double queue = load.up_to_ / (1 - load.up_to_);
    return std::min(by_share, queue);
}


milliseconds wait_for_slot(const upstream_load& u, const urgent_load& load)
{
    const service_times& t = u.times_;
    const double waiting = u.requests_ - t.slots_;
    const double rate = completions_per_second(t);
    if (waiting < 0 || rate <= 0)
        return milliseconds{0};
    const double remaining = std::max(min_remaining_part, 1 - load.above_);
    // The slot that becomes free last is the request's own.
    const double slots = requests_ahead(waiting, load) + 1;
    // Responses end independently of each other.
    const double deviation = std::sqrt(slots + u.variance_);
    return std::chrono::duration<double>(
        (slots + margin * deviation) / (rate * remaining));
}


// Returns the prompt tokens that are processed before those of a new request:
// half of those of the requests that start at the same pass.
double prompt_tokens_ahead(const service_times& t, double requests)
{
    const double busy = std::min(1.0, requests / t.slots_);
    const double starts = busy * completions_per_second(t) *
                          std::chrono::duration<double>(t.pass_).count();
    return starts * t.mean_prompt_tokens_ / 2;
}

} // namespace

milliseconds total(const prediction& p)
{
    return p.slot_wait_ + p.start_;
}


prediction predict(
    const upstream_load& upstream,
    const urgent_load& load,
    double prompt_tokens)
{
    const service_times& t = upstream.times_;
    prediction result;
    result.slot_wait_ = wait_for_slot(upstream, load);
    if (t.pass_.count() <= 0) {
        result.start_ = t.occupation_;
        return result;
    }
    const double tokens = std::max(0.0, prompt_tokens) +
                          prompt_tokens_ahead(t, upstream.requests_);
    const double passes =
        t.tokens_per_pass_ > 0
            ? std::max(1.0, std::ceil(tokens / t.tokens_per_pass_))
            : 1;
    result.start_ =
        t.pass_ * (remaining_pass + passes) + t.per_prompt_token_ * tokens;
    return result;
}

} // namespace monsoondock::admission
