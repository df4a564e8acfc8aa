#pragma once

#include <monsoondock/settings/acceptance_outcome.hpp>
#include <monsoondock/settings/settings_edit.hpp>
#include <monsoondock/settings/settings_head.hpp>
#include <monsoondock/settings/store_answer.hpp>
#include <monsoondock/settings/store_call.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace monsoondock::settings {

/// Retry limits and other options of an acceptance.
struct acceptance_options
{
    /// Consecutive failed store calls that are retried; one more ends the
    /// edit.
    std::uint32_t max_failures_ = 6;
    /// Times that the edit is rebased on a newer head.
    std::uint32_t max_rebases_ = 16;
    /// Delay before the first retry; it doubles with each further failure,
    /// at most six times.
    std::chrono::milliseconds first_delay_{50};
    /// Accepted edits that the head keeps in its history.
    std::size_t max_history_ = HEAD_HISTORY_LIMIT;
    /// False takes a head write without an answer for a success instead of
    /// reading the head. Tests use it to show that they detect the fault.
    bool read_back_ = true;
};


/// Commits one edit to the platform's store. It first writes the node objects
/// and the index object, which are immutable, and then updates the head
/// conditionally; that update accepts the edit. An edit that loses a race is
/// rebased on the newer head. The class is a state machine without I/O: the
/// owner makes the calls that it returns, in any order, and passes in the
/// answers.
class acceptance
{
public:
    explicit acceptance(settings_edit edit, acceptance_options options = {});
    acceptance(acceptance&&) noexcept;
    acceptance& operator=(acceptance&&) noexcept;
    ~acceptance();


    /// Returns the first calls.
    std::vector<store_call> start();


    /// Takes an answer and returns the calls to make next. Answers to calls
    /// that are no longer pending are ignored.
    std::vector<store_call> on_answer(const store_answer& answer);


    /// Returns the outcome once the edit has ended.
    const std::optional<acceptance_outcome>& outcome() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace monsoondock::settings
