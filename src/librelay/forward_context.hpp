#pragma once

#include "admission_control.hpp"
#include "exchange.hpp"
#include "proxy_thread.hpp"
#include "try_upstream.hpp"

#include <monsoondock/base/byte_budget.hpp>

#include <optional>
#include <string_view>

namespace monsoondock::relay::pvt {

/// Outcome of a request, for its log line.
struct request_outcome
{
    std::string_view name_;
    unsigned status_ = 0;
};


/// One request of a caller while it is forwarded.
struct forward_context
{
    proxy_thread& t_;
    exchange& e_;
    response_state state_;
    /// Error response of an upstream, used when no other upstream succeeds.
    std::optional<http_response> failed_response_;
    base::byte_lease failed_response_memory_;
    request_outcome outcome_;
    /// Set when the request was refused because of overload.
    std::optional<admission_refusal> refusal_;
};

} // namespace monsoondock::relay::pvt
