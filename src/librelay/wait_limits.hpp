#pragma once

#include "exchange.hpp"

#include <chrono>

namespace monsoondock::relay::pvt {

/// Maximum time to establish a connection; within a data centre it takes a few
/// milliseconds at most.
inline constexpr std::chrono::milliseconds connect_timeout{250};

/// How long an upstream stays marked unhealthy: long enough for the platform's
/// list of hosts to show that the host is lost.
inline constexpr std::chrono::milliseconds unhealthy_period{5000};


/// Returns how long the exchange may wait in its current phase before it should
/// be rerouted to another upstream. Zero means that only the deadline of the
/// exchange bounds the wait.
std::chrono::nanoseconds wait_limit(const exchange& e);

/// Returns how long a stream may stall although its upstream responds to other
/// requests; its response is then considered lost. Zero for other phases and
/// for responses that are not streams.
std::chrono::nanoseconds stall_limit(const exchange& e);


/// Returns how long a stream may go on without an event although its upstream
/// sends bytes and no other one may replace it. Zero as for stall_limit.
std::chrono::nanoseconds abandon_limit(const exchange& e);


/// Returns when the response of a request that starts now is expected to end at
/// the latest, with a margin: by the estimated tokens, or by the target latency
/// of a service without an engine. At its deadline when neither is known.
base::time_point expected_end(const exchange& e, base::time_point now);

} // namespace monsoondock::relay::pvt
