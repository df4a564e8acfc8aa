#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/load/outcome.hpp>

#include <string>
#include <variant>

namespace monsoondock::load::pvt {

/// HTTP answer and the times at which its body arrived.
struct raw_answer
{
    int status_ = 0;
    std::string body_;
    bool retry_after_ = false;
    /// Arrival of the first byte of the body.
    base::time_point first_byte_at_;
    base::time_point last_byte_at_;
    /// Longest time between two parts of the body.
    base::duration longest_gap_{0};
};


/// No connection could be made; nothing was sent.
struct unreachable
{};

/// Result of sending one HTTP request.
using send_outcome = std::variant<raw_answer, unreachable, transport_failure>;

} // namespace monsoondock::load::pvt
