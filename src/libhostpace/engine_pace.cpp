#include <monsoondock/hostpace/engine_pace.hpp>

#include <algorithm>

namespace monsoondock::hostpace {

namespace {

// Returns the time that an engine takes to process a prompt.
double prefill_ms(const catalog::engine& e, double tokens)
{
    return e.prefill_tokens_per_ms_ <= 0 ? 0
                                         : tokens / e.prefill_tokens_per_ms_;
}

} // namespace

fractional_ms
event_interval(const catalog::engine& e, double time_factor, unsigned batch)
{
    const double running = std::clamp(batch, 1U, std::max(1U, e.slots_));
    const double context = e.mean_prompt_tokens_ + e.mean_answer_tokens_ / 2;
    double step = e.step_ms_ + running * e.step_per_request_ms_ +
                  running * context / 1000 * e.step_per_1000_tokens_ms_;
    // In a steady state a new prompt takes the place of each answer that ends.
    if (e.mean_answer_tokens_ >= 1)
        step += running * prefill_ms(e, e.mean_prompt_tokens_) /
                e.mean_answer_tokens_;
    return fractional_ms(
        std::max(1.0, e.steps_per_scheduling_pass_) * step * time_factor);
}


fractional_ms first_event_time(
    const catalog::engine& e,
    double time_factor,
    unsigned batch,
    double prompt_tokens)
{
    const fractional_ms interval = event_interval(e, time_factor, batch);
    if (interval.count() <= 0)
        return interval;
    return 1.5 * interval +
           fractional_ms(prefill_ms(e, prompt_tokens) * time_factor);
}

} // namespace monsoondock::hostpace
