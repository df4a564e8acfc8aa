#pragma once

#include "faults.hpp"

#include <monsoondock/standin/http_server.hpp>

#include <map>
#include <string>

namespace monsoondock::service_standin {

/// Simulated service whose calls have a side effect: it counts the runs for
/// each idempotency key, so that tests can detect repeated execution.
struct plain_service
{
    std::string name_;
    standin::http_server server_;
    faults faults_;
    /// Number of runs by Idempotency-Key; "" for calls without a key.
    std::map<std::string, std::uint64_t> runs_;
};


/// Handles one call of the service or one request to the control API of the
/// stand-in (paths under /standin/).
boost::asio::awaitable<void>
handle_request(plain_service& s, standin::exchange& e);

} // namespace monsoondock::service_standin
