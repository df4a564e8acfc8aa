#include "command.hpp"
#include "request_story.hpp"

#include <fstream>
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


bool read_file(const std::string& name, std::vector<log_line>& all)
{
    if (name == "-") {
        read_log(std::cin, "stdin", all);
        return true;
    }
    std::ifstream in(name);
    if (!in)
        return false;
    read_log(in, name, all);
    return true;
}

} // namespace

exit_code explain_request(const request& r)
{
    std::vector<log_line> all;
    for (std::size_t i = 1; i < r.arguments_.size(); ++i) {
        if (read_file(r.arguments_[i], all))
            continue;
        std::cerr << "monsoondockctl: can't read " << r.arguments_[i] << '\n';
        return exit_code::bad_input;
    }
    const request_story story = tell_story(std::move(all), r.arguments_[0]);
    print_lines("request:", story.lines_);
    print_lines("its hosts in those minutes:", story.around_);
    for (const std::string& text : story.missing_)
        std::cout << "missing: " << text << '\n';
    return story.lines_.empty() ? exit_code::failed : exit_code::ok;
}

} // namespace monsoondockctl
