#pragma once

#include "exit_code.hpp"
#include "options.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace monsoondockctl {

/// Flags and arguments that a command is run with.
struct command_input
{
    options options_;
    /// Arguments after the name of the command.
    std::vector<std::string> arguments_;
};


/// One command of the program.
struct command
{
    /// One or two words.
    std::string_view name_;
    /// Usage text of the arguments after the name; empty when there are none.
    std::string_view arguments_;
    std::string_view help_;
    std::size_t min_arguments_ = 0;
    std::size_t max_arguments_ = 0;
    exit_code (*run_)(const command_input&) = nullptr;
};


/// Returns all commands in the order of the help text.
const std::vector<command>& all_commands();


// The functions below implement the commands and return their exit codes.
exit_code settings_get(const command_input& input);
exit_code settings_effective(const command_input& input);
exit_code settings_set(const command_input& input);
exit_code settings_unset(const command_input& input);
exit_code settings_apply(const command_input& input);
exit_code settings_diff(const command_input& input);
exit_code settings_history(const command_input& input);
exit_code settings_check(const command_input& input);
exit_code settings_keys(const command_input& input);
exit_code settings_status(const command_input& input);
exit_code list_groups(const command_input& input);
exit_code list_hosts(const command_input& input);
exit_code list_members(const command_input& input);
exit_code drain(const command_input& input);
exit_code undrain(const command_input& input);
exit_code list_drains(const command_input& input);
exit_code explain(const command_input& input);
exit_code explain_request(const command_input& input);
exit_code report(const command_input& input);
exit_code entry_hosts(const command_input& input);
exit_code suspects_list(const command_input& input);
exit_code suspects_lift(const command_input& input);

} // namespace monsoondockctl
