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

exit_code suspects_list(const command_input& input)
{
    return print_objects(input.options_, "suspects/", "fingerprint");
}


exit_code suspects_lift(const command_input& input)
{
    if (const auto missing = check_platform(input.options_))
        return fail(*missing);
    const std::string key = "suspects/" + input.arguments_[0];
    platform_session session(input.options_);
    const auto read = session.get(key);
    if (!base::ok(read))
        return fail(base::error(read));
    const auto& object = base::value(read);
    if (!object)
        return fail(
            exit_code::failed,
            "no such suspect: " + input.arguments_[0],
            "see `suspects list`");
    const auto outcome = session.erase(key, object->version_);
    if (!std::holds_alternative<platform::written>(outcome))
        return fail_write(key, outcome);
    print(
        json::object{
            {"outcome", "lifted"}, {"fingerprint", input.arguments_[0]}},
        input.options_.output_);
    return exit_code::ok;
}

} // namespace monsoondockctl
