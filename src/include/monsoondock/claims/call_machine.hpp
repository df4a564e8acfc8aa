#pragma once

#include <monsoondock/claims/call.hpp>
#include <monsoondock/claims/claim_command.hpp>
#include <monsoondock/claims/claim_event.hpp>

#include <memory>
#include <vector>

namespace monsoondock::claims {

/// State machine of one attempt at a call that may run at most once: claims
/// the call in the store, has it sent, keeps its outcome or releases the
/// claim, and answers the caller. It does no I/O and reads no clock.
class call_machine
{
public:
    explicit call_machine(call c, claim_timing timing = {});

    call_machine(call_machine&&) noexcept;
    call_machine& operator=(call_machine&&) noexcept;
    ~call_machine();


    /// Starts the attempt. Call it once.
    std::vector<claim_command> start(moment now);


    /// Takes one event and returns the commands that follow, in order.
    std::vector<claim_command> process(const claim_event& event, moment now);


    /// Returns true when nothing is left to do. The caller may have been
    /// answered earlier.
    bool finished() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace monsoondock::claims
