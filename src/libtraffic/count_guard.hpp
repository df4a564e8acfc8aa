#pragma once

#include <atomic>
#include <cstdint>

namespace monsoondock::traffic::pvt {

/// Increments a shared counter for its lifetime.
class count_guard
{
public:
    explicit count_guard(std::atomic<std::uint64_t>& count) : count_(count)
    {
        ++count_;
    }

    count_guard(const count_guard&) = delete;
    count_guard& operator=(const count_guard&) = delete;

    ~count_guard()
    {
        --count_;
    }

private:
    std::atomic<std::uint64_t>& count_;
};

} // namespace monsoondock::traffic::pvt
