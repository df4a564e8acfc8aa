#pragma once

#include <monsoondock/claims/call.hpp>
#include <monsoondock/claims/claim_command.hpp>
#include <monsoondock/claims/claim_event.hpp>

#include <memory>
#include <vector>

namespace monsoondock::claims {

/// State machine of one attempt at a call that may run at most once. It claims
/// the call in the store, requests its dispatch, stores the outcome or releases
/// the claim, and answers the caller. It does no I/O and reads no clock: the
/// owner executes the returned commands and passes their results in as events.
class call_machine
{
public:
    explicit call_machine(call c, claim_timing timing = {});

    call_machine(call_machine&&) noexcept;
    call_machine& operator=(call_machine&&) noexcept;
    ~call_machine();


    /// Starts the attempt and returns the first commands. Call it once.
    std::vector<claim_command> start(clock_reading now);


    /// Processes one event and returns the resulting commands, in order.
    std::vector<claim_command>
    process(const claim_event& event, clock_reading now);


    /// Returns true when no work is left. The caller may have been answered
    /// earlier, while the claim was still being updated.
    bool finished() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace monsoondock::claims
