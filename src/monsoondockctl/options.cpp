#include "options.hpp"

#include <monsoondock/settings/duration_text.hpp>

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdlib>
#include <string_view>

DEFINE_string(
    platform, "", "ip:port of the platform; separate several with commas");
DEFINE_string(daemon, "", "ip:port of a daemon's caller interface");
DEFINE_string(output, "text", "output format: text or json");
DEFINE_string(
    timeout, "5s", "time limit of each call, for example 500ms or 5s");
DEFINE_string(region, "", "region to query");
DEFINE_string(data_centre, "", "data centre to query");
DEFINE_string(deployment, "", "deployment to query");
DEFINE_string(workspace, "", "workspace to query");
DEFINE_string(author, "", "author of a change; $USER by default");
DEFINE_string(note, "", "reason for a change");
DEFINE_uint64(if_revision, 0, "apply only on top of this revision; 0 for any");
DEFINE_string(api_key_file, "", "file containing an API key of the workspace");

namespace monsoondockctl {

namespace {

namespace settings = monsoondock::settings;

constexpr std::string_view FLAG_NAMES[] = {
    "platform",
    "daemon",
    "output",
    "timeout",
    "region",
    "data_centre",
    "deployment",
    "workspace",
    "author",
    "note",
    "if_revision",
    "api_key_file"};

using optional_usage_error = std::optional<usage_error>;


struct parsed_flag
{
    std::string name_;
    std::optional<std::string> value_;
};


parsed_flag split_flag(std::string_view word)
{
    word.remove_prefix(std::min(word.find_first_not_of('-'), word.size()));
    const std::size_t equals = word.find('=');
    parsed_flag flag{std::string(word.substr(0, equals)), {}};
    std::replace(flag.name_.begin(), flag.name_.end(), '-', '_');
    if (equals != std::string_view::npos)
        flag.value_ = std::string(word.substr(equals + 1));
    return flag;
}


/// Returns whether word is a flag; negative numbers are values.
bool is_flag(std::string_view word)
{
    return word.size() > 1 && word[0] == '-' &&
           (word[1] < '0' || word[1] > '9');
}


bool is_known_flag(const std::string& name)
{
    return std::find(std::begin(FLAG_NAMES), std::end(FLAG_NAMES), name) !=
           std::end(FLAG_NAMES);
}


optional_usage_error set_flag(const parsed_flag& flag)
{
    const std::string set =
        gflags::SetCommandLineOption(flag.name_.c_str(), flag.value_->c_str());
    if (set.empty())
        return usage_error{
            "\"" + *flag.value_ + "\" is not a valid value for --" +
            flag.name_};
    return std::nullopt;
}


template <class Id>
void set_if_given(std::optional<Id>& target, const std::string& value)
{
    if (!value.empty())
        target = Id{value};
}


optional_usage_error read_addresses(options& o)
{
    std::string rest = FLAGS_platform;
    while (!rest.empty()) {
        const std::size_t comma = std::min(rest.find(','), rest.size());
        const auto address =
            settings::parse_socket_address(rest.substr(0, comma));
        if (!address)
            return usage_error{"--platform takes ip:port, not host names"};
        o.platform_.push_back(*address);
        rest.erase(0, comma + 1);
    }
    if (FLAGS_daemon.empty())
        return std::nullopt;
    o.daemon_ = settings::parse_socket_address(FLAGS_daemon);
    if (!o.daemon_)
        return usage_error{"--daemon takes ip:port, not host names"};
    return std::nullopt;
}


std::string login_name()
{
    const char* name = std::getenv("USER");
    return name != nullptr ? name : "unknown";
}


optional_usage_error read_flags(options& o)
{
    if (auto error = read_addresses(o))
        return error;
    if (FLAGS_output != "text" && FLAGS_output != "json")
        return usage_error{"--output takes text or json"};
    o.output_ =
        FLAGS_output == "json" ? output_format::json : output_format::text;
    const auto timeout = settings::parse_duration(FLAGS_timeout);
    if (!timeout || timeout->count() == 0)
        return usage_error{"--timeout takes a duration such as 500ms or 5s"};
    o.timeout_ = *timeout;
    set_if_given(o.place_.region_, FLAGS_region);
    set_if_given(o.place_.data_centre_, FLAGS_data_centre);
    set_if_given(o.place_.deployment_, FLAGS_deployment);
    set_if_given(o.place_.workspace_, FLAGS_workspace);
    o.author_ = FLAGS_author.empty() ? login_name() : FLAGS_author;
    o.note_ = FLAGS_note;
    if (FLAGS_if_revision != 0)
        o.if_revision_ = settings::revision{FLAGS_if_revision};
    o.api_key_file_ = FLAGS_api_key_file;
    return std::nullopt;
}

} // namespace

std::variant<command_line, usage_error>
parse_command_line(int argc, const char* const* argv)
{
    command_line line;
    for (int i = 1; i < argc; ++i) {
        const std::string_view word = argv[i];
        if (!is_flag(word)) {
            line.words_.emplace_back(word);
            continue;
        }
        parsed_flag flag = split_flag(word);
        if (flag.name_ == "help" || flag.name_ == "version") {
            (flag.name_ == "help" ? line.options_.help_
                                  : line.options_.version_) = true;
            continue;
        }
        if (!is_known_flag(flag.name_))
            return usage_error{"unknown flag --" + flag.name_};
        if (!flag.value_ && i + 1 == argc)
            return usage_error{"--" + flag.name_ + " requires a value"};
        if (!flag.value_)
            flag.value_ = argv[++i];
        if (auto error = set_flag(flag))
            return *error;
    }
    if (auto error = read_flags(line.options_))
        return *error;
    return line;
}


std::string describe_flags()
{
    std::string text;
    for (const std::string_view name : FLAG_NAMES) {
        const auto info =
            gflags::GetCommandLineFlagInfoOrDie(std::string(name).c_str());
        text += "  --" + info.name + ": " + info.description;
        if (!info.default_value.empty())
            text += " (" + info.default_value + ")";
        text += "\n";
    }
    return text;
}

} // namespace monsoondockctl
