#include <monsoondock/base/problem.hpp>

namespace monsoondock::base {

const char* to_string(problem_code code) noexcept
{
    switch (code) {
    case problem_code::invalid_argument:
        return "invalid_argument";
    case problem_code::not_found:
        return "not_found";
    case problem_code::conflict:
        return "conflict";
    case problem_code::unavailable:
        return "unavailable";
    case problem_code::timeout:
        return "timeout";
    case problem_code::corrupt:
        return "corrupt";
    case problem_code::unauthorized:
        return "unauthorized";
    case problem_code::exhausted:
        return "exhausted";
    case problem_code::internal:
        break;
    }
    return "internal";
}


std::string to_string(const problem& p)
{
    std::string text = to_string(p.code_);
    text += ": " + p.message_;
    if (!p.hint_.empty())
        text += " (" + p.hint_ + ")";
    return text;
}

} // namespace monsoondock::base
