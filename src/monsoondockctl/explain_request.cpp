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

exit_code explain_request(const request& r)
{
    auto all = read_logs({r.arguments_.begin() + 1, r.arguments_.end()});
    if (!all)
        return exit_code::bad_input;
    const request_story story = tell_story(std::move(*all), r.arguments_[0]);
    print_lines("request:", story.lines_);
    print_lines("its hosts, store and leader within a minute:", story.around_);
    for (const std::string& text : story.missing_)
        std::cout << "missing: " << text << '\n';
    return story.lines_.empty() ? exit_code::failed : exit_code::ok;
}

} // namespace monsoondockctl
