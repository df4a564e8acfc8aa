#include "log_files.hpp"

#include <fstream>
#include <iostream>

namespace monsoondockctl {

namespace {

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

std::optional<std::vector<log_line>>
read_logs(const std::vector<std::string>& names)
{
    std::vector<log_line> all;
    for (const std::string& name : names) {
        if (read_file(name, all))
            continue;
        std::cerr << "monsoondockctl: cannot read " << name << '\n';
        return std::nullopt;
    }
    return all;
}

} // namespace monsoondockctl
