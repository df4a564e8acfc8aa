#pragma once

#include "engine_host.hpp"

namespace monsoondock::engine_standin {

/// Answers POST /v1/chat/completions. A request that waits or runs ends when
/// its caller disconnects, when it is cancelled, or when its group breaks.
boost::asio::awaitable<void>
answer_completion(engine_host& h, standin::exchange& e);

} // namespace monsoondock::engine_standin
