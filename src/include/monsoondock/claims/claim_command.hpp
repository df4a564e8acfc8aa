#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/claims/caller_answer.hpp>
#include <monsoondock/platform/object.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace monsoondock::claims {

/// Number of a store call within one attempt. Its answer carries it back.
struct store_call_id
{
    std::uint32_t value_ = 0;

    friend bool
    operator==(const store_call_id&, const store_call_id&) = default;
};


/// Create the object if it is absent.
struct create_claim
{
    store_call_id id_;
    std::string key_;
    std::string value_;
};


/// Read the object.
struct read_claim
{
    store_call_id id_;
    std::string key_;
};


/// Write value_ if the object still has version_.
struct update_claim
{
    store_call_id id_;
    std::string key_;
    std::string value_;
    platform::version version_;
};


/// Delete the object if it still has version_.
struct release_claim
{
    store_call_id id_;
    std::string key_;
    platform::version version_;
};


/// Send the call. Given at most once for each attempt. Until the first byte
/// may have left, other upstreams may be tried under the same command.
struct send_to_upstream
{};


/// Answer the caller. Given exactly once for each attempt.
struct answer_caller
{
    caller_answer answer_;
};


/// Feed a tick at this time or later.
struct wake_at
{
    base::time_point time_;
};

/// Everything an attempt asks of its daemon.
using claim_command = std::variant<
    create_claim,
    read_claim,
    update_claim,
    release_claim,
    send_to_upstream,
    answer_caller,
    wake_at>;

} // namespace monsoondock::claims
