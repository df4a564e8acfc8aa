#pragma once

#include "options.hpp"

#include <boost/json/value.hpp>

namespace monsoondockctl {

/// Prints a value on standard output: as JSON, or as text with one line for
/// each member of an object and a table for a list of objects.
void print(const boost::json::value& value, output_format format);

} // namespace monsoondockctl
