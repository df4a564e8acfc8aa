#pragma once

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>

namespace monsoondock::service_standin {

/// Faults that the service shows at present.
struct faults
{
    /// Further calls whose connection closes before the call ran.
    std::uint64_t crash_before_run_ = 0;
    /// Further calls that run and whose connection closes without an answer.
    std::uint64_t crash_after_run_ = 0;
    /// Time between a call's arrival and its run.
    std::chrono::milliseconds delay_{0};
    /// Bytes of the body after which each answer is cut; 0: none is.
    std::uint64_t cut_after_bytes_ = 0;
};


/// Changes the faults named in body and leaves the others. Throws
/// boost::system::system_error for a value of the wrong type.
void change_faults(faults& f, const boost::json::object& body);

} // namespace monsoondock::service_standin
