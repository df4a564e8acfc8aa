#pragma once

#include "exit_code.hpp"
#include "options.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace monsoondockctl {

/// What a command works on.
struct request
{
    options options_;
    /// Words after the name of the command.
    std::vector<std::string> arguments_;
};


/// One command of the program.
struct command
{
    /// One or two words.
    std::string_view name_;
    /// Arguments after the name.
    std::string_view arguments_;
    std::string_view help_;
    std::size_t min_arguments_ = 0;
    std::size_t max_arguments_ = 0;
    exit_code (*run_)(const request&) = nullptr;
};


/// Returns all commands in the order of the help text.
const std::vector<command>& all_commands();


/// Each function runs the command of its name.
exit_code settings_get(const request& r);
exit_code settings_effective(const request& r);
exit_code settings_set(const request& r);
exit_code settings_unset(const request& r);
exit_code settings_apply(const request& r);
exit_code settings_diff(const request& r);
exit_code settings_history(const request& r);
exit_code settings_check(const request& r);
exit_code settings_keys(const request& r);
exit_code settings_status(const request& r);
exit_code list_groups(const request& r);
exit_code list_hosts(const request& r);
exit_code list_members(const request& r);
exit_code drain(const request& r);
exit_code undrain(const request& r);
exit_code list_drains(const request& r);
exit_code explain(const request& r);
exit_code explain_request(const request& r);
exit_code report(const request& r);
exit_code entry_hosts(const request& r);
exit_code suspects_list(const request& r);
exit_code suspects_lift(const request& r);

} // namespace monsoondockctl
