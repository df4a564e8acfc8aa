#include "command.hpp"
#include "daemon_call.hpp"
#include "failure.hpp"
#include "print.hpp"

#include <fstream>

namespace monsoondockctl {

namespace base = monsoondock::base;

namespace {

exit_code print_daemon_answer(
    const command_input& input,
    const std::string& target,
    const std::string& key = {})
{
    const auto answer = get_from_daemon(input.options_, target, key);
    if (!base::ok(answer))
        return fail(base::error(answer));
    print(base::value(answer), input.options_.output_);
    return exit_code::ok;
}

} // namespace

exit_code list_members(const command_input& input)
{
    return print_daemon_answer(input, "/admin/members");
}


exit_code explain(const command_input& input)
{
    const auto& place = input.options_.place_;
    if (!place.workspace_ || !place.deployment_)
        return fail(
            exit_code::bad_input,
            "--workspace or --deployment is missing",
            "specify both");
    return print_daemon_answer(
        input,
        "/admin/explain?workspace=" + percent_encode(place.workspace_->value_) +
            "&deployment=" + percent_encode(place.deployment_->value_));
}


exit_code entry_hosts(const command_input& input)
{
    std::string key;
    if (!input.options_.api_key_file_.empty()) {
        std::ifstream in(input.options_.api_key_file_);
        if (!(in >> key))
            return fail(
                exit_code::bad_input,
                input.options_.api_key_file_ +
                    " cannot be read or contains no API key",
                "pass a readable file with --api_key_file");
    }
    return print_daemon_answer(input, "/v1/entry-hosts", key);
}

} // namespace monsoondockctl
