#pragma once

#include "command.hpp"

#include <string>

namespace monsoondockctl {

/// Returns the help text of the program.
std::string program_help();


/// Returns the help text of one command.
std::string command_help(const command& c);

} // namespace monsoondockctl
