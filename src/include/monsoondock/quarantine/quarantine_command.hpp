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

/// Identifier of a store call, which the response to the call repeats.
struct store_call_id
{
    std::uint64_t value_ = 0;

    friend auto
    operator<=>(const store_call_id&, const store_call_id&) = default;
};


/// The request may be sent to one of these groups. The caller must report its
/// choice with suspect_registry::dispatched before it sends the request.
struct permit_dispatch
{
    base::request_id request_;
    std::vector<group_instance> groups_;
};


/// Why a request is not dispatched.
enum class quarantine_refusal
{
    /// The request was in flight on QUARANTINE_LOSSES or more groups when they
    /// were lost.
    quarantined,
    /// Groups were lost under several requests that have a part of their prompt
    /// in common with the request.
    part_quarantined,
    /// The request is a suspect and a trial of another copy is in progress, or
    /// the request itself is already in flight.
    on_trial_elsewhere,
    /// The request is a suspect and no group is free for a trial.
    no_trial_group,
    /// The request is a suspect and the store cannot confirm a trial.
    store_unavailable,
    /// The groups to which the request is confined were lost recently.
    confined_groups_lost
};


/// The request must not be dispatched.
struct refuse_dispatch
{
    base::request_id request_;
    quarantine_refusal reason_ = quarantine_refusal::quarantined;
    /// Time after which the caller may retry; zero when a retry cannot succeed.
    std::chrono::milliseconds retry_after_{0};
};


/// Write a suspect record if condition_ holds.
struct put_suspect
{
    store_call_id id_;
    std::string key_;
    std::string value_;
    platform::write_condition condition_;
};


/// Delete a suspect record if it still has version_.
struct erase_suspect
{
    store_call_id id_;
    std::string key_;
    platform::version version_;
};


/// Read a suspect record.
struct read_suspect
{
    store_call_id id_;
    std::string key_;
};

/// Command of the registry that its daemon must execute.
using quarantine_command = std::variant<
    permit_dispatch,
    refuse_dispatch,
    put_suspect,
    erase_suspect,
    read_suspect>;


/// Returns the HTTP status of a refusal: 422 for a quarantined request, else
/// 503.
unsigned http_status(quarantine_refusal reason) noexcept;


/// Returns the last segment of the problem type URN of a refusal.
const char* to_string(quarantine_refusal reason) noexcept;


/// Returns the problem detail for the caller: what happened and what to do.
const char* describe(quarantine_refusal reason) noexcept;

} // namespace monsoondock::quarantine
