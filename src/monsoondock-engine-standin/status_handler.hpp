#pragma once

#include "engine_host.hpp"

namespace monsoondock::engine_standin {

/// Handles GET /v1/status. The reported load may be out of date by up to the
/// status lag; group, generation and phase are always current.
boost::asio::awaitable<void>
handle_status(engine_host& h, standin::exchange& e);

} // namespace monsoondock::engine_standin
