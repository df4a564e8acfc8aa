#pragma once

#include <monsoondock/catalog/model.hpp>

#include <chrono>
#include <vector>

namespace monsoondock::catalog {

/// Figures of a deployment's model engines, as operators publish them.
struct engine
{
    std::vector<model> models_;
    /// Requests that a group runs at once.
    unsigned slots_ = 1;
    /// Tokens of context that a group's memory holds.
    double kv_cache_tokens_ = 0;
    /// One step of decoding, without the parts that grow with the batch.
    double step_ms_ = 0;
    /// What each running request adds to a step, in milliseconds.
    double step_per_request_ms_ = 0;
    /// What each 1,000 tokens of context add to a step, in milliseconds.
    double step_per_1000_tokens_ms_ = 0;
    /// Prompt tokens that are read in a millisecond.
    double prefill_tokens_per_ms_ = 1;
    /// Prompt tokens that are read at most within one step.
    double prefill_chunk_tokens_ = 0;
    /// Steps between two looks at what waits; events leave in between.
    double steps_per_scheduling_pass_ = 1;
    /// Mean tokens of a prompt and of an answer.
    double mean_prompt_tokens_ = 0;
    double mean_answer_tokens_ = 0;
    /// Loads from the weight store that may begin in a second.
    double loads_per_second_ = 1;
    /// Loads at once that do not slow each other down.
    unsigned parallel_loads_ = 1;
    /// Models whose weights a host keeps.
    unsigned max_staged_models_ = 1;
    /// Time from the order to open until the group takes requests.
    std::chrono::milliseconds open_time_{0};
};

} // namespace monsoondock::catalog
