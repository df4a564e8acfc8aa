#pragma once

#include "engine_host.hpp"

namespace monsoondock::engine_standin {

/// Handles POST /v1/chat/completions. A queued or running request is aborted
/// when its caller disconnects, when it is cancelled, or when a host of its
/// group crashes.
boost::asio::awaitable<void>
handle_completion(engine_host& h, standin::exchange& e);

} // namespace monsoondock::engine_standin
