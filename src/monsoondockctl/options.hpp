#pragma once

#include <monsoondock/settings/place.hpp>
#include <monsoondock/settings/revision.hpp>
#include <monsoondock/settings/socket_address.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace monsoondockctl {

/// Output format of a command.
enum class output_format
{
    text,
    json
};


/// Values of the flags.
struct options
{
    std::vector<monsoondock::settings::socket_address> platform_;
    std::optional<monsoondock::settings::socket_address> daemon_;
    output_format output_ = output_format::text;
    std::chrono::milliseconds timeout_{};
    /// Place given by --region, --data_centre, --deployment and --workspace.
    monsoondock::settings::place place_;
    std::string author_;
    std::string note_;
    std::optional<monsoondock::settings::revision> if_revision_;
    std::string api_key_file_;
    bool help_ = false;
    bool version_ = false;
};


/// A parsed command line: flags, and the name and arguments of a command.
struct command_line
{
    options options_;
    std::vector<std::string> words_;
};


/// Error in a command line, described in one sentence.
struct usage_error
{
    std::string message_;
};


/// Parses the command line. Flags may appear anywhere, as --name=value or
/// --name value.
std::variant<command_line, usage_error>
parse_command_line(int argc, const char* const* argv);


/// Returns the flags with their descriptions and defaults for the help text.
std::string describe_flags();

} // namespace monsoondockctl
