#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/load/chat_message.hpp>
#include <monsoondock/load/request_class.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace monsoondock::load {

/// One request of the plan.
struct arrival
{
    /// Time since the start of the run at which it is sent.
    base::duration at_{0};
    /// Position in the list of workspaces.
    std::size_t workspace_ = 0;
    request_class class_ = request_class::interactive;
    /// Messages of a completion; the last one is unlike any other's.
    std::vector<chat_message> messages_;
    std::size_t max_tokens_ = 0;
    bool stream_ = false;
    /// Idempotency key and body of a call.
    std::string key_;
    std::string body_;
    /// The call is sent a second time after its first answer.
    bool repeated_ = false;

    friend bool operator==(const arrival&, const arrival&) = default;
};

} // namespace monsoondock::load
