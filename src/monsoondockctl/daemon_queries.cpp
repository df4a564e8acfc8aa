#include "command.hpp"
#include "daemon_call.hpp"
#include "failure.hpp"
#include "print.hpp"

#include <fstream>

namespace monsoondockctl {

namespace base = monsoondock::base;

namespace {

exit_code print_answer(
    const request& r, const std::string& target, const std::string& key = {})
{
    const auto answer = get_from_daemon(r.options_, target, key);
    if (!base::ok(answer))
        return fail(base::error(answer));
    print(base::value(answer), r.options_.output_);
    return exit_code::ok;
}

} // namespace

exit_code list_members(const request& r)
{
    return print_answer(r, "/admin/members");
}


exit_code explain(const request& r)
{
    const auto& where = r.options_.place_;
    if (!where.workspace_ || !where.deployment_)
        return fail(
            exit_code::bad_input,
            "a workspace and a deployment are needed",
            "add --workspace and --deployment");
    return print_answer(
        r,
        "/admin/explain?workspace=" + percent_encode(where.workspace_->value_) +
            "&deployment=" + percent_encode(where.deployment_->value_));
}


exit_code entry_hosts(const request& r)
{
    std::string key;
    if (!r.options_.api_key_file_.empty()) {
        std::ifstream in(r.options_.api_key_file_);
        if (!(in >> key))
            return fail(
                exit_code::bad_input,
                r.options_.api_key_file_ + " holds no API key",
                "name a readable file with --api_key_file");
    }
    return print_answer(r, "/v1/entry-hosts", key);
}

} // namespace monsoondockctl
