#pragma once

#include <monsoondock/catalog/engine.hpp>

#include <chrono>
#include <optional>

namespace monsoondock::admission {

/// Duration in milliseconds, with fractions.
using milliseconds = std::chrono::duration<double, std::milli>;


/// How long an upstream takes for its requests while all of its slots are
/// busy.
struct service_times
{
    /// Number of requests that it runs concurrently.
    unsigned slots_ = 1;
    /// Time from one scheduling pass to the next, without prefill; 0 for a
    /// plain service.
    milliseconds pass_{0};
    /// Time to process one token of a prompt.
    milliseconds per_prompt_token_{0};
    /// Prompt tokens that are processed in one pass at most; 0 for no limit.
    double tokens_per_pass_ = 0;
    /// Mean length of a prompt, in tokens.
    double mean_prompt_tokens_ = 0;
    /// Time for which a request of mean size occupies its slot.
    milliseconds occupation_{0};
};


/// Returns the times of a group of a model, by the published figures of its
/// engine. Returns nothing when a figure that they need is absent, zero,
/// negative or not finite.
std::optional<service_times> times_of_engine(
    const catalog::engine& engine, double time_factor, unsigned slots);


/// Returns the times of a host of a plain service, which takes this long for a
/// call. Returns nothing when the duration is not positive.
std::optional<service_times>
times_of_plain_service(milliseconds call, unsigned slots);


/// Returns the requests that an upstream completes in a second while all of its
/// slots are busy.
double completions_per_second(const service_times& times);

} // namespace monsoondock::admission
