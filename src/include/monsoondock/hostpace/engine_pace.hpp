#pragma once

#include <monsoondock/catalog/engine.hpp>
#include <monsoondock/hostpace/load_level.hpp>

namespace monsoondock::hostpace {

/// Returns the expected time between two events of a stream while a group runs
/// a number of requests, from the figures of the engine: the steps of one
/// scheduling pass, with prompts of the mean length being processed at the rate
/// at which answers of the mean length end. 0 when the engine has no figures.
fractional_ms
event_interval(const catalog::engine& e, double time_factor, unsigned batch);


/// Returns the expected time from sending a request to its first event when it
/// need not wait for a slot: half a scheduling pass until it is admitted, its
/// prompt, and the pass after which its first event is sent. 0 when the engine
/// has no figures.
fractional_ms first_event_time(
    const catalog::engine& e,
    double time_factor,
    unsigned batch,
    double prompt_tokens);

} // namespace monsoondock::hostpace
