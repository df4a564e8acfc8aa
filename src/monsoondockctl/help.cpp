#include "help.hpp"

namespace monsoondockctl {

namespace {

std::string usage_of(const command& c)
{
    std::string text = "monsoondockctl " + std::string(c.name_);
    if (!c.arguments_.empty())
        text += " " + std::string(c.arguments_);
    return text;
}


std::string tail()
{
    return "\nFlags:\n" + describe_flags() +
           "  --help: this text, also after a command\n"
           "  --version: the version of the program\n"
           "\nExit codes: 0 done, 1 failed, 2 wrong command line or settings "
           "that are not valid,\n3 conflict with another change, 4 the "
           "platform or the daemon gave no answer.\n";
}

} // namespace

std::string program_help()
{
    std::string text = "Operators' tool of monsoondock.\n\nCommands:\n";
    for (const command& c : all_commands())
        text += "  " + usage_of(c) + "\n      " + std::string(c.help_) + "\n";
    return text + tail();
}


std::string command_help(const command& c)
{
    return "Usage: " + usage_of(c) + "\n\n" + std::string(c.help_) + "\n" +
           tail();
}

} // namespace monsoondockctl
