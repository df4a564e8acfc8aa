#pragma once

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace monsoondock::engine_standin {

/// Speed and faults of one host.
struct faults
{
    /// Time between two tokens of one request.
    std::chrono::milliseconds token_time_{20};
    /// Time to the first token; a half or a quarter for a cached prefix.
    std::chrono::milliseconds first_token_time_{50};
    /// Age that the load in a status may have.
    std::chrono::milliseconds status_lag_{0};
    /// Tokens after which each stream is cut; 0: none is.
    std::uint64_t cut_after_ = 0;
    /// Takes orders and requests whatever their generation.
    bool ignore_generation_ = false;
    /// A prompt that contains this text kills the host; empty: none does.
    std::string crash_on_;
};


/// Changes the faults named in body and leaves the others. Throws
/// boost::system::system_error for a value of the wrong type.
void change_faults(faults& f, const boost::json::object& body);

} // namespace monsoondock::engine_standin
