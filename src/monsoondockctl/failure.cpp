#include "failure.hpp"

#include <iostream>

namespace monsoondockctl {

namespace base = monsoondock::base;
namespace platform = monsoondock::platform;
namespace settings = monsoondock::settings;

namespace {

exit_code code_of(base::problem_code code)
{
    switch (code) {
    case base::problem_code::unavailable:
    case base::problem_code::timeout:
        return exit_code::unavailable;
    case base::problem_code::conflict:
        return exit_code::conflict;
    case base::problem_code::invalid_argument:
        return exit_code::bad_input;
    default:
        return exit_code::failed;
    }
}

} // namespace

exit_code fail(exit_code code, const std::string& what, const std::string& next)
{
    std::cerr << "monsoondockctl: " << what << "; " << next << "\n";
    return code;
}


exit_code fail(const base::problem& p)
{
    const std::string next = p.hint_.empty() ? "see --help" : p.hint_;
    return fail(code_of(p.code_), p.message_, next);
}


exit_code fail(const settings::findings& faults)
{
    for (const settings::finding& fault : faults)
        std::cerr << to_string(fault) << "\n";
    const std::string count = std::to_string(faults.size());
    return fail(
        exit_code::bad_input,
        count + (faults.size() == 1 ? " fault" : " faults"),
        "correct them and try again");
}


exit_code
fail_write(const std::string& key, const platform::write_outcome& outcome)
{
    if (std::holds_alternative<platform::condition_failed>(outcome))
        return fail(
            exit_code::conflict,
            key + " was changed by somebody else",
            "look at it and try again");
    if (const auto* lost = std::get_if<platform::answer_lost>(&outcome))
        return fail(
            exit_code::unavailable,
            "the answer for " + key + " was lost: " + lost->reason_,
            "look whether it took effect before you try again");
    const auto* refused = std::get_if<platform::not_reached>(&outcome);
    return fail(
        exit_code::unavailable,
        "the platform was not reached: " +
            (refused != nullptr ? refused->reason_ : std::string("unknown")),
        "nothing was written; check --platform and try again");
}

} // namespace monsoondockctl
