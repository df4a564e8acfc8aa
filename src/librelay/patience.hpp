#pragma once

#include "exchange.hpp"

#include <chrono>

namespace monsoondock::relay::pvt {

/// Longest wait for a connection; a data centre's links take a few
/// milliseconds at most.
inline constexpr std::chrono::milliseconds connect_limit{250};

/// How long a doubt lasts: until the platform's list shows a lost host.
inline constexpr std::chrono::milliseconds unhealthy_period{5000};


/// Returns how long the exchange may wait in its present phase before another
/// upstream is the better choice. Zero means that the wait is not bounded
/// before the answer is due.
std::chrono::nanoseconds wait_limit(const exchange& e);

/// Returns how long a stream may stand still though its upstream serves
/// others; by then its answer is lost. Zero for other phases and answers.
std::chrono::nanoseconds hang_limit(const exchange& e);

} // namespace monsoondock::relay::pvt
