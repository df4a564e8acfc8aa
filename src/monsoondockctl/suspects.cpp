#include "command.hpp"
#include "current_tree.hpp"
#include "failure.hpp"
#include "print.hpp"
#include "store_rows.hpp"

#include <boost/json.hpp>

namespace monsoondockctl {

namespace json = boost::json;
namespace base = monsoondock::base;
namespace platform = monsoondock::platform;

exit_code suspects_list(const request& r)
{
    return print_objects(r.options_, "suspects/", "fingerprint");
}


exit_code suspects_lift(const request& r)
{
    if (const auto missing = check_platform(r.options_))
        return fail(*missing);
    const std::string key = "suspects/" + r.arguments_[0];
    platform_session session(r.options_);
    const auto read = session.get(key);
    if (!base::ok(read))
        return fail(base::error(read));
    const auto& object = base::value(read);
    if (!object)
        return fail(
            exit_code::failed,
            "there is no suspect " + r.arguments_[0],
            "see `suspects list`");
    const auto outcome = session.erase(key, object->version_);
    if (!std::holds_alternative<platform::written>(outcome))
        return fail_write(key, outcome);
    print(
        json::object{{"outcome", "lifted"}, {"fingerprint", r.arguments_[0]}},
        r.options_.output_);
    return exit_code::ok;
}

} // namespace monsoondockctl
