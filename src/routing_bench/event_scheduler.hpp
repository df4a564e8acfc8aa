#pragma once

#include <monsoondock/base/boot_clock.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace monsoondock::routing_bench {

/// Discrete-event scheduler: runs tasks in order of their simulated time.
class event_scheduler
{
public:
    /// Schedules a task; tasks with equal times run in order of insertion.
    void run_at(base::time_point time, std::function<void()> task)
    {
        tasks_.emplace(time, std::move(task));
    }


    /// Schedules a task relative to the current simulated time.
    void run_after(std::chrono::nanoseconds delay, std::function<void()> task)
    {
        run_at(now_ + delay, std::move(task));
    }


    /// Runs all tasks due before end and advances the clock to end.
    void run_until(base::time_point end)
    {
        while (!tasks_.empty() && tasks_.begin()->first < end) {
            auto next = tasks_.extract(tasks_.begin());
            now_ = next.key();
            next.mapped()();
        }
        now_ = end;
    }


    /// Returns the current simulated time.
    base::time_point now() const noexcept
    {
        return now_;
    }

private:
    std::multimap<base::time_point, std::function<void()>> tasks_;
    base::time_point now_;
};

} // namespace monsoondock::routing_bench
