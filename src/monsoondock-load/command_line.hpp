#pragma once

#include <monsoondock/base/result.hpp>
#include <monsoondock/load/plan.hpp>
#include <monsoondock/load/run.hpp>

namespace monsoondock::load_tool {

/// Parsed command line.
struct command
{
    load::plan_options plan_;
    load::run_options run_;
    bool json_ = false;
};


/// Converts the gflags of this tool to options. Problem code invalid_argument:
/// a flag has a value that is not allowed.
base::result<command> read_command_line();

} // namespace monsoondock::load_tool
