#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/load/chat_message.hpp>
#include <monsoondock/load/request_class.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace monsoondock::load {

/// One request of a load plan.
struct arrival
{
    /// Send time, relative to the start of the run.
    base::duration at_{0};
    /// Index into run_options::workspaces_.
    std::size_t workspace_index_ = 0;
    request_class class_ = request_class::interactive;
    /// Messages of a completion; the content of the last one is unique in the
    /// plan, so that an answer to another request is detected.
    std::vector<chat_message> messages_;
    std::size_t max_tokens_ = 0;
    bool stream_ = false;
    /// Idempotency key and body of a call.
    std::string idempotency_key_;
    std::string body_;
    /// The call is sent again with the same key once it has completed.
    bool repeated_ = false;

    friend bool operator==(const arrival&, const arrival&) = default;
};

} // namespace monsoondock::load
