#pragma once

#include "proxy_thread.hpp"

#include <boost/asio/awaitable.hpp>

namespace monsoondock::relay::pvt {

/// Serves one request of a caller to its end: chooses upstreams, relays the
/// answer, or tells the caller why there is none. Returns true when the
/// caller's connection can take another request.
boost::asio::awaitable<bool>
forward(proxy_thread& t, std::shared_ptr<exchange> e);


/// Writes an answer of the relay's own. Returns false when that failed.
boost::asio::awaitable<bool>
write_own_answer(caller_link& link, std::string text);

} // namespace monsoondock::relay::pvt
