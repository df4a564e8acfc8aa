#include "help.hpp"

namespace monsoondockctl {

namespace {

std::string usage_line(const command& c)
{
    std::string text = "monsoondockctl " + std::string(c.name_);
    if (!c.arguments_.empty())
        text += " " + std::string(c.arguments_);
    return text;
}


std::string flags_and_exit_codes()
{
    return "\nFlags:\n" + describe_flags() +
           "  --help: print this text, or the help of a command\n"
           "  --version: print the version of the program\n"
           "\nExit codes: 0 success, 1 failure, 2 invalid command line or "
           "settings,\n3 conflict with another change, 4 no answer from the "
           "platform or the daemon.\n";
}

} // namespace

std::string program_help()
{
    std::string text =
        "Command-line tool for operators of monsoondock.\n\nCommands:\n";
    for (const command& c : all_commands())
        text += "  " + usage_line(c) + "\n      " + std::string(c.help_) + "\n";
    return text + flags_and_exit_codes();
}


std::string command_help(const command& c)
{
    return "Usage: " + usage_line(c) + "\n\n" + std::string(c.help_) + "\n" +
           flags_and_exit_codes();
}

} // namespace monsoondockctl
