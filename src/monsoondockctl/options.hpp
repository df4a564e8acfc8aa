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

/// Form of what a command prints.
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
    /// Parts named by --region, --data_centre, --deployment and --workspace.
    monsoondock::settings::place place_;
    std::string author_;
    std::string note_;
    std::optional<monsoondock::settings::revision> if_revision_;
    std::string api_key_file_;
    bool help_ = false;
    bool version_ = false;
};


/// Flags and the words between them.
struct command_line
{
    options options_;
    std::vector<std::string> words_;
};


/// What is wrong with a command line, in one sentence.
struct usage_error
{
    std::string message_;
};


/// Reads the command line. Flags may stand anywhere, as --name=value or
/// --name value.
std::variant<command_line, usage_error>
parse_command_line(int argc, const char* const* argv);


/// Returns the list of flags for the help text.
std::string describe_flags();

} // namespace monsoondockctl
