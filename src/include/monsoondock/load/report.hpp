#pragma once

#include <monsoondock/load/summary.hpp>

#include <string>

namespace monsoondock::load {

/// Formats a summary as plain-text tables; times are in milliseconds.
std::string to_text(const summary& s);


/// Formats a summary as one JSON document; times are in milliseconds.
std::string to_json(const summary& s);

} // namespace monsoondock::load
