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

/// Bounds of an acceptance.
struct acceptance_options
{
    /// Calls in a row without an answer before the edit gives up.
    std::uint32_t max_failures_ = 6;
    /// Times that the edit starts again on a newer head.
    std::uint32_t max_rebases_ = 16;
    /// Wait before the first repeated call; it doubles with each failure.
    std::chrono::milliseconds first_delay_{50};
    /// Acceptances that the head is to remember.
    std::size_t max_history_ = HEAD_HISTORY_LIMIT;
    /// False leaves out the read after a lost answer, for tests of the tests.
    bool read_back_ = true;
};


/// Brings one edit into the platform's store: node objects first, which are
/// immutable, then one conditional update of the head, which is the
/// acceptance. An edit that lost a race starts again on the newer head. A
/// state machine: the owner makes the calls that it asks for, in any order,
/// and hands in the answers.
class acceptance
{
public:
    explicit acceptance(settings_edit edit, acceptance_options options = {});
    acceptance(acceptance&&) noexcept;
    acceptance& operator=(acceptance&&) noexcept;
    ~acceptance();


    /// Returns the first calls.
    std::vector<store_call> start();


    /// Takes an answer and returns the calls to make next. Answers that it no
    /// longer waits for are ignored.
    std::vector<store_call> on_answer(const store_answer& answer);


    /// Returns the outcome once the edit has ended.
    const std::optional<acceptance_outcome>& outcome() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace monsoondock::settings
