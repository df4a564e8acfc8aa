#pragma once

#include <cstddef>
#include <string_view>

namespace monsoondock::base {

/// Returns where in a text the header of a response begins that has a field of
/// the given name, such as the one with the id of its request, or npos. A
/// sender that answers twice on a connection puts the second response behind
/// the first; where the first has neither a length nor chunks, nothing else
/// tells where it ends.
std::size_t find_response(std::string_view text, std::string_view field_name);

} // namespace monsoondock::base
