#include "command.hpp"
#include "current_tree.hpp"
#include "failure.hpp"
#include "print.hpp"
#include "print_objects.hpp"

#include <boost/json.hpp>

namespace monsoondockctl {

namespace json = boost::json;
namespace base = monsoondock::base;
namespace platform = monsoondock::platform;

namespace {

std::optional<exit_code> check_arguments(const command_input& input)
{
    if (const auto missing = check_platform(input.options_))
        return fail(*missing);
    const std::string& kind = input.arguments_[0];
    if (kind != "daemon" && kind != "host")
        return fail(
            exit_code::bad_input,
            kind + " cannot be drained",
            "pass daemon or host");
    return std::nullopt;
}


std::string drain_key(const command_input& input)
{
    return "drains/" + input.arguments_[0] + "/" + input.arguments_[1];
}


exit_code print_outcome(const command_input& input, const char* outcome)
{
    print(
        json::object{{"outcome", outcome}, {"id", input.arguments_[1]}},
        input.options_.output_);
    return exit_code::ok;
}

} // namespace

exit_code drain(const command_input& input)
{
    if (const auto code = check_arguments(input))
        return *code;
    platform_session session(input.options_);
    const json::object record{
        {"author", input.options_.author_}, {"note", input.options_.note_}};
    const auto outcome = session.put(
        drain_key(input), json::serialize(record), platform::if_absent{});
    if (std::holds_alternative<platform::written>(outcome))
        return print_outcome(input, "draining");
    if (std::holds_alternative<platform::condition_failed>(outcome))
        return print_outcome(input, "already draining");
    return fail_write(drain_key(input), outcome);
}


exit_code undrain(const command_input& input)
{
    if (const auto code = check_arguments(input))
        return *code;
    platform_session session(input.options_);
    const auto read = session.get(drain_key(input));
    if (!base::ok(read))
        return fail(base::error(read));
    const auto& object = base::value(read);
    if (!object)
        return print_outcome(input, "not draining");
    const auto outcome = session.erase(drain_key(input), object->version_);
    if (std::holds_alternative<platform::written>(outcome))
        return print_outcome(input, "not draining");
    return fail_write(drain_key(input), outcome);
}


exit_code list_drains(const command_input& input)
{
    return print_objects(input.options_, "drains/", "drain");
}

} // namespace monsoondockctl
