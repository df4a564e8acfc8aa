#pragma once

#include "proxy_thread.hpp"

#include <chrono>
#include <optional>

namespace monsoondock::relay::pvt {

/// Chooses the upstream for the next try of a request; nothing when there is
/// none that has not been tried.
std::optional<upstream> choose(proxy_thread& t, const exchange& e);


/// Chooses the daemon for a detour of a request; nothing when the request is to
/// be sent to an upstream, or no daemon can help. A detour is for a request
/// whose upstreams are behind cut links, all of them or those that have room.
std::optional<paths::helper> choose_detour(proxy_thread& t, const exchange& e);


/// Returns true when the upstreams that can serve the request, or those of them
/// that have room, are behind cut links, and another daemon may help.
bool is_for_detour(const proxy_thread& t, const exchange& e);


/// Returns true when so many requests are queued at every healthy upstream that
/// this one would not start in time.
bool is_overloaded(const proxy_thread& t, const exchange& e);


/// Reserves one more try of a request that has been sent already. Returns false
/// when the retry limit does not permit it.
bool take_retry(proxy_thread& t, exchange& e, base::time_point now);


/// Returns true when the current try may be given up for another one: the
/// request may be executed again, a healthy upstream has room for it, and the
/// retry limit permits it.
bool grant_replacement(proxy_thread& t, exchange& e, base::time_point now);

} // namespace monsoondock::relay::pvt
