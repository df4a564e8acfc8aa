#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/claims/caller_answer.hpp>
#include <monsoondock/platform/object.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace monsoondock::claims {

/// Identifies a store call within one attempt. The event that answers the call
/// carries the same id.
struct store_call_id
{
    std::uint32_t value_ = 0;

    friend bool
    operator==(const store_call_id&, const store_call_id&) = default;
};


/// Creates the object if it is absent.
struct create_claim
{
    store_call_id id_;
    std::string key_;
    std::string value_;
};


/// Reads the object.
struct read_claim
{
    store_call_id id_;
    std::string key_;
};


/// Writes value_ if the object still has version_.
struct update_claim
{
    store_call_id id_;
    std::string key_;
    std::string value_;
    platform::version version_;
};


/// Deletes the object if it still has version_.
struct release_claim
{
    store_call_id id_;
    std::string key_;
    platform::version version_;
};


/// Sends the call to an upstream. Issued at most once per attempt. Within the
/// same command, other upstreams may be tried as long as no byte may have left.
struct send_to_upstream
{};


/// Answers the caller. Issued exactly once per attempt.
struct answer_caller
{
    caller_answer answer_;
};


/// Requests a tick event at this time or later.
struct wake_at
{
    base::time_point time_;
};

/// Command of an attempt to its daemon.
using claim_command = std::variant<
    create_claim,
    read_claim,
    update_claim,
    release_claim,
    send_to_upstream,
    answer_caller,
    wake_at>;

} // namespace monsoondock::claims
