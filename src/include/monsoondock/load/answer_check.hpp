#pragma once

#include <monsoondock/load/arrival.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace monsoondock::load {

/// Describes how an answer differs from the expected one; empty when it
/// matches.
using difference = std::optional<std::string>;


/// Compares a completion, streamed or not, with the answer that the stand-in
/// engine must give to its request.
difference check_completion(const arrival& a, std::string_view body);


/// Compares the answer of a stand-in service with the expected one; the call
/// must have run exactly once.
difference check_call(const arrival& a, std::string_view body);

} // namespace monsoondock::load
