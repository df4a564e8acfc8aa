#pragma once

#include <monsoondock/base/boot_clock.hpp>

#include <string>
#include <variant>
#include <vector>

namespace monsoondock::load {

/// The complete answer arrived and is the expected one.
struct completed
{
    /// Time from the planned send time to the first byte of the answer's
    /// body.
    base::duration first_token_{0};
    base::duration total_{0};
    /// Longest time between two parts of a streamed answer.
    base::duration longest_gap_{0};
    std::size_t tokens_ = 0;
};


/// The system refused the request.
struct refused
{
    int status_ = 0;
    /// Problem type in the answer's body; "untyped" when it has none.
    std::string reason_;
    /// Whether the call was executed, as the answer states it: "not_run" or
    /// "unknown".
    std::string execution_;
    /// The answer has a Retry-After header.
    bool retry_after_ = false;
    base::duration total_{0};
};


/// No connection could be made, or it failed before the complete answer
/// arrived. A caller can detect this, unlike a wrong answer.
struct transport_failure
{
    std::string reason_;
};


/// The complete answer arrived but is not the expected one, or the number of
/// executions that the service stand-in counted contradicts the outcome.
struct wrong_answer
{
    std::string reason_;
};

/// Result of one request.
using outcome =
    std::variant<completed, refused, transport_failure, wrong_answer>;

} // namespace monsoondock::load
