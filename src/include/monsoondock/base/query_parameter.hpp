#pragma once

#include <string_view>

namespace monsoondock::base {

/// Returns the value of a parameter in the query of a request's target, for
/// instance 7 of "/hosts?after=7&source=a" for after, as it stands there, with
/// percent codes. Returns an empty text when there is none. The value refers
/// to the target's characters.
std::string_view
query_parameter(std::string_view target, std::string_view name);

} // namespace monsoondock::base
