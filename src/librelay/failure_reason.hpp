#pragma once

#include <boost/system/error_code.hpp>

#include <string_view>

namespace monsoondock::relay::pvt {

/// Reason of a response whose reading this daemon has ended.
inline constexpr std::string_view stopped_reason = "stopped";


/// Returns what an error of sending a request or of reading a response says
/// about the response, as it appears in logs.
std::string_view
failure_reason(const boost::system::error_code& failure) noexcept;

} // namespace monsoondock::relay::pvt
