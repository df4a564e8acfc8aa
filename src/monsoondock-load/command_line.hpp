#pragma once

#include <monsoondock/base/result.hpp>
#include <monsoondock/load/plan.hpp>
#include <monsoondock/load/run.hpp>

namespace monsoondock::load_tool {

/// What the command line asks for.
struct command
{
    load::plan_options plan_;
    load::run_options run_;
    bool json_ = false;
};


/// Reads the gflags of this tool. Problem code invalid_argument: a flag has a
/// value that is not allowed.
base::result<command> read_command_line();

} // namespace monsoondock::load_tool
