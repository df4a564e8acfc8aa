#include "engine_model.hpp"

#include "statistics.hpp"

#include <algorithm>

namespace monsoondock::routing_bench {

namespace {

constexpr std::size_t CACHED_PREFIXES = 24;
constexpr double PREFILL_HIT_SECONDS = 0.1;
constexpr double PREFILL_MISS_SECONDS = 0.8;
constexpr double TOKEN_SECONDS = 0.05;
// A full batch makes each token take this much longer.
constexpr double BATCH_SLOWDOWN = 0.5;

} // namespace


engine_model::engine_model(timeline& time, unsigned slots, double slowness)
    : time_(time), slots_(slots), slowness_(slowness)
{}


void engine_model::submit(engine_job job)
{
    if (running_ < slots_)
        start(std::move(job));
    else
        queue_.push_back(std::move(job));
}


routing::load_report engine_model::load() const
{
    return {running_, static_cast<unsigned>(queue_.size()), time_.now()};
}


void engine_model::start(engine_job job)
{
    ++running_;
    const bool hit = use_prefix(job.prefix_);
    const double prefill =
        (hit ? PREFILL_HIT_SECONDS : PREFILL_MISS_SECONDS) * slowness_;
    const double batch = 1 + BATCH_SLOWDOWN * running_ / slots_;
    const auto interval =
        seconds_to_duration(TOKEN_SECONDS * slowness_ * batch);
    time_.in(
        seconds_to_duration(prefill),
        [this, job = std::move(job), hit, interval] {
            job.on_first_token_(hit);
            time_.in(interval * job.tokens_, [this, job, interval] {
                finish(job, interval);
            });
        });
}


bool engine_model::use_prefix(const std::string& prefix)
{
    const auto found = std::find(cache_.begin(), cache_.end(), prefix);
    const bool hit = found != cache_.end();
    if (hit)
        cache_.erase(found);
    cache_.push_front(prefix);
    if (cache_.size() > CACHED_PREFIXES)
        cache_.pop_back();
    return hit;
}


void engine_model::finish(
    const engine_job& job, std::chrono::nanoseconds interval)
{
    --running_;
    job.on_end_(interval);
    if (queue_.empty() || running_ >= slots_)
        return;
    engine_job next = std::move(queue_.front());
    queue_.pop_front();
    start(std::move(next));
}

} // namespace monsoondock::routing_bench
