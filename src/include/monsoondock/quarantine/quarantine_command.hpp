#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/platform/write_condition.hpp>
#include <monsoondock/quarantine/group_instance.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace monsoondock::quarantine {

/// Number of a store call; its answer carries it back.
struct store_call_id
{
    std::uint64_t value_ = 0;

    friend auto
    operator<=>(const store_call_id&, const store_call_id&) = default;
};


/// The request may be sent to one of these groups. Report the choice with
/// dispatched() before anything else.
struct permit_dispatch
{
    base::request_id request_;
    std::vector<group_instance> groups_;
};


/// Why a request is not dispatched.
enum class quarantine_refusal
{
    /// It was in flight on too many groups that were lost.
    quarantined,
    /// It is a suspect and another copy is on trial.
    on_trial_elsewhere,
    /// It is a suspect and no group is free for a trial.
    no_trial_group,
    /// It is a suspect and the store can't confirm a trial.
    store_unavailable,
    /// The groups it is confined to were lost moments ago.
    confined_groups_lost
};


/// The request must not be sent.
struct refuse_dispatch
{
    base::request_id request_;
    quarantine_refusal reason_ = quarantine_refusal::quarantined;
    /// When to come back; zero when coming back changes nothing.
    std::chrono::milliseconds retry_after_{0};
};


/// Write a suspect under condition_.
struct put_suspect
{
    store_call_id id_;
    std::string key_;
    std::string value_;
    platform::write_condition condition_;
};


/// Delete a suspect if it still has version_.
struct erase_suspect
{
    store_call_id id_;
    std::string key_;
    platform::version version_;
};


/// Read a suspect.
struct read_suspect
{
    store_call_id id_;
    std::string key_;
};

/// Everything the registry asks of its daemon.
using quarantine_command = std::variant<
    permit_dispatch,
    refuse_dispatch,
    put_suspect,
    erase_suspect,
    read_suspect>;


/// Returns the HTTP status of a refusal: 422 for a request in quarantine, 503
/// for the others.
unsigned http_status(quarantine_refusal reason) noexcept;


/// Returns the last part of the problem type of a refusal.
const char* to_string(quarantine_refusal reason) noexcept;


/// Returns one sentence for the caller: what happened and what to do.
const char* describe(quarantine_refusal reason) noexcept;

} // namespace monsoondock::quarantine
