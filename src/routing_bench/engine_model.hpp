#pragma once

#include "event_scheduler.hpp"

#include <monsoondock/routing/group_view.hpp>

#include <deque>
#include <functional>
#include <list>
#include <string>

namespace monsoondock::routing_bench {

/// Request submitted to an engine.
struct engine_job
{
    std::string prefix_;
    unsigned tokens_ = 0;
    std::function<void(bool hit)> on_first_token_;
    std::function<void(std::chrono::nanoseconds interval)> on_end_;
};


/// Simulated engine of one group: a fixed number of slots, a FIFO queue, an LRU
/// prefix cache, and a time per token that grows with the batch.
class engine_model
{
public:
    engine_model(event_scheduler& scheduler, unsigned slots, double slowdown);


    /// Starts a request, or queues it until a slot is free.
    void submit(engine_job job);


    /// Returns the current load.
    routing::load_report load() const;

private:
    void start(engine_job job);
    bool use_prefix(const std::string& prefix);
    void finish(const engine_job& job, std::chrono::nanoseconds interval);

    event_scheduler& scheduler_;
    unsigned slots_;
    double slowdown_;
    unsigned running_ = 0;
    std::deque<engine_job> queue_;
    std::list<std::string> cache_;
};

} // namespace monsoondock::routing_bench
