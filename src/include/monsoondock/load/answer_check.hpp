#pragma once

#include <monsoondock/load/arrival.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace monsoondock::load {

/// Text that says how an answer differs from the right one; nothing when it
/// is right.
using difference = std::optional<std::string>;


/// Compares a completion, streamed or not, with what its request must give.
difference check_completion(const arrival& a, std::string_view body);


/// Compares the answer of a plain service with what its call must give; the
/// call must have run exactly once.
difference check_call(const arrival& a, std::string_view body);

} // namespace monsoondock::load
