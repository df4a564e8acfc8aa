#pragma once

#include <monsoondock/catalog/model.hpp>

#include <chrono>
#include <vector>

namespace monsoondock::catalog {

/// Models and performance figures of a deployment's inference engines, as
/// published by operators. Times are for a time_factor_ of 1; see model.
struct engine
{
    std::vector<model> models_;
    /// Requests that a replica group processes concurrently.
    unsigned slots_ = 1;
    /// Capacity of a group's KV cache, in tokens.
    double kv_cache_tokens_ = 0;
    /// Fixed part of the time of a decode step, in milliseconds; the parts that
    /// grow with the batch follow.
    double step_ms_ = 0;
    /// Time that each running request adds to a step, in milliseconds.
    double step_per_request_ms_ = 0;
    /// Time that each 1,000 tokens of context add to a step, in milliseconds.
    double step_per_1000_tokens_ms_ = 0;
    /// Prompt tokens processed per millisecond.
    double prefill_tokens_per_ms_ = 1;
    /// Maximum number of prompt tokens processed in one step.
    double prefill_chunk_tokens_ = 0;
    /// Steps from one scheduling pass to the next. The engine admits waiting
    /// requests and sends events only between these runs of steps.
    double steps_per_scheduling_pass_ = 1;
    /// Mean lengths of a prompt and of an answer, in tokens.
    double mean_prompt_tokens_ = 0;
    double mean_answer_tokens_ = 0;
    /// Loads from the weight store that may start per second.
    double loads_per_second_ = 1;
    /// Number of concurrent loads up to which none slows the others down.
    unsigned parallel_loads_ = 1;
    /// Number of models whose weights a host holds at the same time.
    unsigned max_staged_models_ = 1;
    /// Time from the open order until the group accepts requests.
    std::chrono::milliseconds open_time_{0};
};

} // namespace monsoondock::catalog
