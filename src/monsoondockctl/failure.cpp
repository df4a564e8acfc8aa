#include "failure.hpp"

#include <iostream>

namespace monsoondockctl {

namespace base = monsoondock::base;
namespace platform = monsoondock::platform;
namespace settings = monsoondock::settings;

namespace {

exit_code exit_code_of(base::problem_code code)
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

exit_code
fail(exit_code code, const std::string& message, const std::string& hint)
{
    std::cerr << "monsoondockctl: " << message << "; " << hint << "\n";
    return code;
}


exit_code fail(const base::problem& p)
{
    const std::string hint = p.hint_.empty() ? "see --help" : p.hint_;
    return fail(exit_code_of(p.code_), p.message_, hint);
}


exit_code fail(const settings::findings& faults)
{
    for (const settings::finding& fault : faults)
        std::cerr << to_string(fault) << "\n";
    const std::string count = std::to_string(faults.size());
    return fail(
        exit_code::bad_input,
        count + (faults.size() == 1 ? " error" : " errors"),
        "correct the settings and try again");
}


exit_code
fail_write(const std::string& key, const platform::write_outcome& outcome)
{
    if (std::holds_alternative<platform::condition_failed>(outcome))
        return fail(
            exit_code::conflict,
            key + " was changed concurrently",
            "check its current value and try again");
    if (const auto* lost = std::get_if<platform::answer_lost>(&outcome))
        return fail(
            exit_code::unavailable,
            "the answer to the write of " + key + " was lost: " + lost->reason_,
            "check whether it took effect before trying again");
    const auto* unwritten = std::get_if<platform::not_reached>(&outcome);
    return fail(
        exit_code::unavailable,
        "the platform refused the write or could not be reached: " +
            (unwritten != nullptr ? unwritten->reason_
                                  : std::string("unknown")),
        "nothing was written; check --platform and try again");
}

} // namespace monsoondockctl
