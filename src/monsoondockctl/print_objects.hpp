#pragma once

#include "exit_code.hpp"
#include "options.hpp"

#include <string>

namespace monsoondockctl {

/// Prints a table of the stored objects whose keys begin with prefix, one row
/// each. name is the title of the first column, which contains the rest of the
/// key.
exit_code print_objects(
    const options& o, const std::string& prefix, const std::string& name);

} // namespace monsoondockctl
