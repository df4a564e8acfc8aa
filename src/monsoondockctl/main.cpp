#include "command.hpp"
#include "failure.hpp"
#include "help.hpp"

#include <iostream>

namespace monsoondockctl {

namespace {

std::vector<std::string> split_words(std::string_view name)
{
    const std::size_t space = name.find(' ');
    if (space == std::string_view::npos)
        return {std::string(name)};
    return {
        std::string(name.substr(0, space)),
        std::string(name.substr(space + 1))};
}


const command* find_command(const std::vector<std::string>& words)
{
    for (const command& c : all_commands()) {
        const auto name = split_words(c.name_);
        if (words.size() < name.size())
            continue;
        if (std::equal(name.begin(), name.end(), words.begin()))
            return &c;
    }
    return nullptr;
}


std::string join_words(const std::vector<std::string>& words)
{
    std::string text;
    for (const std::string& word : words)
        text += (text.empty() ? "" : " ") + word;
    return text;
}


exit_code run_command(const command& c, command_line line)
{
    if (line.options_.help_) {
        std::cout << command_help(c);
        return exit_code::ok;
    }
    const auto name_size =
        static_cast<std::ptrdiff_t>(split_words(c.name_).size());
    command_input input{
        std::move(line.options_),
        {line.words_.begin() + name_size, line.words_.end()}};
    const std::size_t count = input.arguments_.size();
    if (count < c.min_arguments_ || count > c.max_arguments_)
        return fail(
            exit_code::bad_input,
            std::string(c.name_) + " takes " +
                (c.arguments_.empty() ? "no arguments"
                                      : std::string(c.arguments_)),
            "see monsoondockctl " + std::string(c.name_) + " --help");
    return c.run_(input);
}


exit_code run(int argc, const char* const* argv)
{
    auto parsed = parse_command_line(argc, argv);
    if (const auto* error = std::get_if<usage_error>(&parsed))
        return fail(
            exit_code::bad_input, error->message_, "see monsoondockctl --help");
    auto& line = std::get<command_line>(parsed);
    if (line.options_.version_) {
        std::cout << "monsoondockctl " << MONSOONDOCK_VERSION << "\n";
        return exit_code::ok;
    }
    if (const command* c = find_command(line.words_))
        return run_command(*c, std::move(line));
    if (line.options_.help_) {
        std::cout << program_help();
        return exit_code::ok;
    }
    return fail(
        exit_code::bad_input,
        line.words_.empty() ? "no command given"
                            : "unknown command " + join_words(line.words_),
        "see monsoondockctl --help");
}

} // namespace

} // namespace monsoondockctl


int main(int argc, char** argv)
{
    return static_cast<int>(monsoondockctl::run(argc, argv));
}
