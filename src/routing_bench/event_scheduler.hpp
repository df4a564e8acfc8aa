#pragma once

#include <monsoondock/base/boot_clock.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace monsoondock::routing_bench {

/// Runs tasks in the order of their times on an injected clock.
class timeline
{
public:
    /// Adds a task to run at the given time, after those already due then.
    void at(base::time_point time, std::function<void()> task)
    {
        tasks_.emplace(time, std::move(task));
    }


    /// Adds a task to run after a wait.
    void in(std::chrono::nanoseconds wait, std::function<void()> task)
    {
        at(now_ + wait, std::move(task));
    }


    /// Runs every task that is due before end.
    void run_until(base::time_point end)
    {
        while (!tasks_.empty() && tasks_.begin()->first < end) {
            auto next = tasks_.extract(tasks_.begin());
            now_ = next.key();
            next.mapped()();
        }
        now_ = end;
    }


    /// Returns the present time of the tasks.
    base::time_point now() const noexcept
    {
        return now_;
    }

private:
    std::multimap<base::time_point, std::function<void()>> tasks_;
    base::time_point now_;
};

} // namespace monsoondock::routing_bench
