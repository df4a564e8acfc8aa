#pragma once

#include "timeline.hpp"

#include <monsoondock/routing/group_view.hpp>

#include <deque>
#include <functional>
#include <list>
#include <string>

namespace monsoondock::routing_bench {

/// One request at an engine.
struct engine_job
{
    std::string prefix_;
    unsigned tokens_ = 0;
    std::function<void(bool hit)> on_first_token_;
    std::function<void(std::chrono::nanoseconds interval)> on_end_;
};


/// Model of a group's engine: a number of slots, a queue, a prefix cache that
/// drops the least recently used prefix, and tokens that come more slowly as
/// the batch grows.
class engine_model
{
public:
    engine_model(timeline& time, unsigned slots, double slowness);


    /// Takes a request; it waits for a slot.
    void submit(engine_job job);


    /// Returns the load at this moment.
    routing::load_report load() const;

private:
    void start(engine_job job);
    bool use_prefix(const std::string& prefix);
    void finish(const engine_job& job, std::chrono::nanoseconds interval);

    timeline& time_;
    unsigned slots_;
    double slowness_;
    unsigned running_ = 0;
    std::deque<engine_job> queue_;
    std::list<std::string> cache_;
};

} // namespace monsoondock::routing_bench
