#pragma once

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace monsoondock::service_standin {

/// Faults injected into the service.
struct faults
{
    /// Number of further calls whose connection is closed before they run.
    std::uint64_t crash_before_run_ = 0;
    /// Number of further calls that run and whose connection is closed without
    /// a response.
    std::uint64_t crash_after_run_ = 0;
    /// Delay between receiving a call and running it.
    std::chrono::milliseconds delay_{0};
    /// Number of body bytes after which each response is truncated; 0 disables
    /// it.
    std::uint64_t cut_after_bytes_ = 0;
    /// Sent as it is in place of each response; empty disables it.
    std::string raw_response_;
};


/// Sets the faults that have a key in body and keeps the others. Throws
/// boost::system::system_error when a value has the wrong type.
void update_faults(faults& f, const boost::json::object& body);

} // namespace monsoondock::service_standin
