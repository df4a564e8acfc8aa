#pragma once

#include "proxy_thread.hpp"

#include <chrono>
#include <optional>
#include <string_view>

namespace monsoondock::relay::pvt {

/// Refusal of a request because its upstreams are overloaded.
struct admission_refusal
{
    /// Empty when the number of waiting requests is the reason.
    std::string_view reason_;
    /// Predicted time to the first event.
    std::chrono::nanoseconds predicted_{0};
    /// Time after which the caller is to return; nothing when it is not known.
    std::optional<std::chrono::milliseconds> retry_after_;
};


/// Decides on a request that has not been sent yet. Returns nothing when it is
/// admitted. longest_return is the longest time after which its caller returns.
///
/// With admission_rule::latency the decision is by the predicted time to the
/// first event. Where that can't be predicted, it is by the number of waiting
/// requests: when figures of the engine are absent, or a plain service has not
/// been measured yet. Both decide while load reports of peers are missing, and
/// the prediction then uses the requests of this daemon alone.
std::optional<admission_refusal> check_admission(
    proxy_thread& t,
    const exchange& e,
    std::chrono::milliseconds longest_return);


/// Records how long a plain service took for a call that has been sent to it,
/// unless the call may have waited for a slot.
void record_call_time(
    proxy_thread& t,
    const exchange& e,
    const upstream& target,
    std::chrono::nanoseconds call);

} // namespace monsoondock::relay::pvt
