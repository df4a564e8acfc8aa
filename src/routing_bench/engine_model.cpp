#include "engine_model.hpp"

#include "statistics.hpp"

#include <algorithm>

namespace monsoondock::routing_bench {

namespace {

constexpr std::size_t CACHED_PREFIXES = 24;
constexpr double PREFILL_HIT_SECONDS = 0.1;
constexpr double PREFILL_MISS_SECONDS = 0.8;
constexpr double TOKEN_SECONDS = 0.05;
// Relative increase of the time per token when the batch is full.
constexpr double BATCH_SLOWDOWN = 0.5;

} // namespace


engine_model::engine_model(
    event_scheduler& scheduler, unsigned slots, double slowdown)
    : scheduler_(scheduler), slots_(slots), slowdown_(slowdown)
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
    return {running_, static_cast<unsigned>(queue_.size()), scheduler_.now()};
}


void engine_model::start(engine_job job)
{
    ++running_;
    const bool hit = use_prefix(job.prefix_);
    const double prefill =
        (hit ? PREFILL_HIT_SECONDS : PREFILL_MISS_SECONDS) * slowdown_;
    const double batch = 1 + BATCH_SLOWDOWN * running_ / slots_;
    const auto interval =
        seconds_to_duration(TOKEN_SECONDS * slowdown_ * batch);
    scheduler_.run_after(
        seconds_to_duration(prefill),
        [this, job = std::move(job), hit, interval] {
            job.on_first_token_(hit);
            scheduler_.run_after(interval * job.tokens_, [this, job, interval] {
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
