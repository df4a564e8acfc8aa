#pragma once

#include <monsoondock/crashes/prompt_part.hpp>

#include <chrono>

namespace monsoondock::crashes {

/// Parts of a prompt that have been put in quarantine, for logs. Requests with
/// all of them are rejected.
struct part_quarantine
{
    part_set parts_;
    std::chrono::milliseconds remaining_{0};
    /// True when one request in a while is sent nevertheless, as a trial.
    bool on_trial_ = false;
};


/// Writes the log line part_quarantined.
void log_quarantine(const part_quarantine& quarantine);

} // namespace monsoondock::crashes
