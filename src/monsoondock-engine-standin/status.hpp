#pragma once

#include "engine_host.hpp"

namespace monsoondock::engine_standin {

/// Answers GET /v1/status. The load in it may be as old as the host's status
/// lag; group, generation and phase are present ones.
boost::asio::awaitable<void>
answer_status(engine_host& h, standin::exchange& e);

} // namespace monsoondock::engine_standin
