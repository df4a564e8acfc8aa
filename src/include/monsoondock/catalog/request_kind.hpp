#pragma once

#include <cstdint>

namespace monsoondock::catalog {

/// Whether the requests of a route may be repeated, and whether their answers
/// are streams.
enum class request_kind : std::uint8_t
{
    /// May run any number of times.
    idempotent,
    /// Runs at most once for each request that the caller sends.
    at_most_once,
    /// Answers with a stream of events that another upstream can resume.
    resumable_stream,
    /// Answers with a stream of events; runs at most once.
    at_most_once_stream
};


/// Returns true when a request of this kind may run more than once.
constexpr bool may_repeat(request_kind kind) noexcept
{
    return kind == request_kind::idempotent ||
           kind == request_kind::resumable_stream;
}


/// Returns true when the answer is a stream of events.
constexpr bool is_stream(request_kind kind) noexcept
{
    return kind == request_kind::resumable_stream ||
           kind == request_kind::at_most_once_stream;
}


/// Returns the name of a kind as it appears in logs.
const char* to_string(request_kind kind) noexcept;

} // namespace monsoondock::catalog
