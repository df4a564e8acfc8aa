#pragma once

#include <monsoondock/load/summary.hpp>

#include <string>

namespace monsoondock::load {

/// Returns a summary as tables for a reader.
std::string to_text(const summary& s);


/// Returns a summary as one JSON document; times are in milliseconds.
std::string to_json(const summary& s);

} // namespace monsoondock::load
