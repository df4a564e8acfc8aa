#pragma once

#include <monsoondock/crashes/prompt_part.hpp>

#include <chrono>
#include <cstdint>
#include <vector>

namespace monsoondock::crashes {

/// A part of a prompt under which hosts crash. Requests with it are rejected.
struct quarantined_part
{
    prompt_part part_ = 0;
    /// Time until the quarantine ends.
    std::chrono::milliseconds remaining_{0};

    friend bool
    operator==(const quarantined_part&, const quarantined_part&) = default;
};

using quarantine_list = std::vector<quarantined_part>;


/// A request with a part that was lost when its host ended.
struct suspected_crash
{
    prompt_part part_ = 0;
    std::uint64_t host_run_ = 0;
    std::uint64_t request_ = 0;
    bool begun_ = false;
    /// Time since the host ended.
    std::chrono::milliseconds age_{0};

    friend bool
    operator==(const suspected_crash&, const suspected_crash&) = default;
};


/// What one daemon tells others about parts of prompts.
struct part_report
{
    quarantine_list quarantined_;
    std::vector<suspected_crash> crashes_;
    /// Parts of requests that were completed.
    std::vector<prompt_part> survivors_;

    /// Returns true when the report says nothing.
    bool empty() const noexcept
    {
        return quarantined_.empty() && crashes_.empty() && survivors_.empty();
    }

    friend bool operator==(const part_report&, const part_report&) = default;
};

} // namespace monsoondock::crashes
