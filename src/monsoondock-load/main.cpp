#include "command_line.hpp"

#include <monsoondock/load/report.hpp>
#include <monsoondock/standin/process.hpp>

#include <gflags/gflags.h>

#include <iostream>

DECLARE_bool(list_profiles);

namespace load = monsoondock::load;
namespace base = monsoondock::base;
using monsoondock::load_tool::command;

namespace {

constexpr int EXIT_WRONG_ANSWERS = 1;
constexpr int EXIT_USAGE = 2;
constexpr int EXIT_NOT_VERIFIED = 3;


int fail(const base::problem& p, int status)
{
    std::cerr << base::to_string(p) << '\n';
    return status;
}


int run(const command& c)
{
    const auto plan = load::make_plan(c.plan_);
    const auto result = load::run(c.run_, plan);
    if (!base::ok(result))
        return fail(base::error(result), EXIT_NOT_VERIFIED);
    const load::summary& s = base::value(result);
    std::cout << (c.json_ ? load::to_json(s) + '\n' : load::to_text(s));
    return s.all_.wrong_ == 0 ? 0 : EXIT_WRONG_ANSWERS;
}

} // namespace

int main(int argc, char** argv)
{
    monsoondock::standin::parse_command_line(
        argc,
        argv,
        "Sends a mixed load, reproducible by its seed, and checks every "
        "answer.\n"
        "Exit status: 0 no wrong answers, 1 some wrong answers, 2 invalid "
        "flag, 3 execution counts not available.");
    if (FLAGS_list_profiles) {
        std::cout << load::profile_names() << '\n';
        return 0;
    }
    const auto c = monsoondock::load_tool::read_command_line();
    if (!base::ok(c))
        return fail(base::error(c), EXIT_USAGE);
    return run(base::value(c));
}
