#include <monsoondock/admission/service_times.hpp>

#include <cmath>

namespace monsoondock::admission {

namespace {

bool is_positive(double value)
{
    return std::isfinite(value) && value > 0;
}


bool is_not_negative(double value)
{
    return std::isfinite(value) && value >= 0;
}

} // namespace

std::optional<service_times> times_of_engine(
    const catalog::engine& engine, double time_factor, unsigned slots)
{
    const bool usable = is_positive(engine.step_ms_) &&
                        is_not_negative(engine.step_per_request_ms_) &&
                        is_not_negative(engine.step_per_1000_tokens_ms_) &&
                        is_positive(engine.prefill_tokens_per_ms_) &&
                        is_not_negative(engine.prefill_chunk_tokens_) &&
                        is_positive(engine.steps_per_scheduling_pass_) &&
                        is_not_negative(engine.mean_prompt_tokens_) &&
                        is_positive(engine.mean_answer_tokens_) &&
                        is_positive(time_factor) && slots > 0;
    if (!usable)
        return std::nullopt;
    // A running request has on average half of its answer.
    const double context =
        slots * (engine.mean_prompt_tokens_ + engine.mean_answer_tokens_ / 2);
    const double step = engine.step_ms_ + engine.step_per_request_ms_ * slots +
                        engine.step_per_1000_tokens_ms_ * context / 1000;
    const double prefill =
        engine.mean_prompt_tokens_ / engine.prefill_tokens_per_ms_;
    service_times times;
    times.slots_ = slots;
    times.pass_ =
        milliseconds(engine.steps_per_scheduling_pass_ * step * time_factor);
    times.per_prompt_token_ =
        milliseconds(time_factor / engine.prefill_tokens_per_ms_);
    times.tokens_per_pass_ =
        engine.prefill_chunk_tokens_ * engine.steps_per_scheduling_pass_;
    times.mean_prompt_tokens_ = engine.mean_prompt_tokens_;
    // The prefill of each prompt delays the steps of all running requests.
    times.occupation_ = milliseconds(
        (engine.mean_answer_tokens_ * step + slots * prefill) * time_factor);
    return times;
}


std::optional<service_times>
times_of_plain_service(milliseconds call, unsigned slots)
{
    if (!is_positive(call.count()) || slots == 0)
        return std::nullopt;
    service_times times;
    times.slots_ = slots;
    times.occupation_ = call;
    return times;
}


double completions_per_second(const service_times& times)
{
    const std::chrono::duration<double> occupation = times.occupation_;
    return occupation.count() > 0 ? times.slots_ / occupation.count() : 0;
}

} // namespace monsoondock::admission
