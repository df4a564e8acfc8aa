#pragma once

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>

namespace monsoondock::platform_standin {

/// Faults injected into the store.
struct faults
{
    /// Replies to every request to the object API with status 503.
    bool down_ = false;
    /// Delay before each request to the object API is handled.
    std::chrono::milliseconds delay_{0};
    /// Number of further writes that take effect but get no response.
    std::uint64_t lose_write_answers_ = 0;
    /// Delay until a change of a host is visible in lists and watches.
    std::chrono::milliseconds list_lag_{0};
};


/// Sets the faults that have a key in body and keeps the others. Throws
/// boost::system::system_error when a value has the wrong type.
void update_faults(faults& f, const boost::json::object& body);

} // namespace monsoondock::platform_standin
