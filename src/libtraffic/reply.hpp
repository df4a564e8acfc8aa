#pragma once

#include <monsoondock/traffic/refusal.hpp>

#include <string>
#include <variant>

namespace monsoondock::traffic::pvt {

/// The complete response was already written to the caller.
struct streamed
{};


/// The stream to the caller was interrupted; the connection must be closed.
struct broken_stream
{
    std::string reason_;
};


/// The caller closed its connection before the response was complete.
struct caller_disconnected
{};

/// Result of a request handler.
using reply = std::variant<
    buffered_response,
    refusal,
    streamed,
    broken_stream,
    caller_disconnected>;


/// Returns the name of the outcome for the log and the metrics.
std::string outcome_name(const reply& r);

} // namespace monsoondock::traffic::pvt
