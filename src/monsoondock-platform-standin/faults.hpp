#pragma once

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>

namespace monsoondock::platform_standin {

/// Faults that the store shows at present.
struct faults
{
    bool down_ = false;
    std::chrono::milliseconds delay_{0};
    /// Further writes that take effect without an answer.
    std::uint64_t lose_write_answers_ = 0;
    /// Age of what the host list shows.
    std::chrono::milliseconds list_lag_{0};
};


/// Changes the faults named in body and leaves the others. Throws
/// boost::system::system_error for a value of the wrong type.
void change_faults(faults& f, const boost::json::object& body);

} // namespace monsoondock::platform_standin
