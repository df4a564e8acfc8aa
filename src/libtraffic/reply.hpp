#pragma once

#include <monsoondock/traffic/refusal.hpp>

#include <string>
#include <variant>

namespace monsoondock::traffic::pvt {

/// The answer was already written to the caller, whole.
struct streamed
{};


/// The stream to the caller broke off; the connection must be closed.
struct broken_stream
{
    std::string reason_;
};


/// The caller closed its connection before the answer was complete.
struct caller_gone
{};

/// What a handler leaves for the connection to do.
using reply = std::
    variant<buffered_response, refusal, streamed, broken_stream, caller_gone>;


/// Returns the name of the outcome for the log and the metrics.
std::string outcome_name(const reply& r);

} // namespace monsoondock::traffic::pvt
