#pragma once

#include "exit_code.hpp"
#include "options.hpp"

#include <string>

namespace monsoondockctl {

/// Prints the objects whose keys begin with prefix, one row each, with the
/// rest of the key in the column name.
exit_code print_objects(
    const options& o, const std::string& prefix, const std::string& name);

} // namespace monsoondockctl
