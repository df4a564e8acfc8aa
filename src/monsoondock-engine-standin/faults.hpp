#pragma once

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace monsoondock::engine_standin {

/// Simulated speed and injected faults of one host.
struct faults
{
    /// Time between two tokens of one request.
    std::chrono::milliseconds token_time_{20};
    /// Time to the first token when no prefix is cached. It is halved when a
    /// shorter prefix is cached, and quartered when the longest one is.
    std::chrono::milliseconds first_token_time_{50};
    /// Maximum age of the load that a status reports.
    std::chrono::milliseconds status_lag_{0};
    /// Number of tokens after which each response is truncated; 0 disables it.
    std::uint64_t cut_after_ = 0;
    /// Accepts orders and requests of any generation.
    bool ignore_generation_ = false;
    /// A prompt that contains this text crashes the host; empty disables it.
    std::string crash_on_;
    /// Limit of requests a second that the host names; 0 for none.
    double limit_ = 0;
};


/// Sets the faults that have a key in body and keeps the others. Throws
/// boost::system::system_error when a value has the wrong type.
void update_faults(faults& f, const boost::json::object& body);

} // namespace monsoondock::engine_standin
