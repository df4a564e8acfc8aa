#pragma once

#include "faults.hpp"

#include <monsoondock/standin/http_server.hpp>

#include <map>
#include <string>

namespace monsoondock::service_standin {

/// A service whose calls have an effect: it counts each run of each key.
struct plain_service
{
    std::string name_;
    standin::http_server server_;
    faults faults_;
    /// Runs by Idempotency-Key; calls without one count under "".
    std::map<std::string, std::uint64_t> runs_;
};


/// Answers one call of the service or of the stand-in's own controls.
boost::asio::awaitable<void> answer(plain_service& s, standin::exchange& e);

} // namespace monsoondock::service_standin
