#pragma once

#include <string>
#include <string_view>

namespace monsoondock::standin::pvt {

/// Replaces each %XX by its byte; a malformed escape stays as it is.
std::string percent_decode(std::string_view text);

} // namespace monsoondock::standin::pvt
