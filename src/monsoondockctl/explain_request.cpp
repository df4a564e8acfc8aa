#include "command.hpp"
#include "log_files.hpp"

#include <iostream>

namespace monsoondockctl {

namespace {

void print_lines(const char* title, const std::vector<log_line>& lines)
{
    if (lines.empty())
        return;
    std::cout << title << '\n';
    for (const log_line& line : lines)
        std::cout << "  " << line.source_ << ": " << line.text_ << '\n';
}

} // namespace

exit_code explain_request(const command_input& input)
{
    auto all =
        read_logs({input.arguments_.begin() + 1, input.arguments_.end()});
    if (!all)
        return exit_code::bad_input;
    const request_timeline timeline =
        build_timeline(std::move(*all), input.arguments_[0]);
    print_lines("request:", timeline.lines_);
    print_lines("related events within a minute:", timeline.related_);
    for (const std::string& text : timeline.missing_)
        std::cout << "missing: " << text << '\n';
    return timeline.lines_.empty() ? exit_code::failed : exit_code::ok;
}

} // namespace monsoondockctl
