#pragma once

#include <string_view>

namespace monsoondock::base {

/// Returns the value of a query parameter in an HTTP request target, for
/// instance "7" for name "after" in "/hosts?after=7&source=a". The value is not
/// percent-decoded and refers to the storage of target. Returns an empty view
/// when the parameter is missing.
std::string_view
query_parameter(std::string_view target, std::string_view name);

} // namespace monsoondock::base
