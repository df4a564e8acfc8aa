#pragma once

#include <atomic>
#include <cstdint>

namespace monsoondock::traffic::pvt {

/// Keeps a shared count right on every way out.
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
