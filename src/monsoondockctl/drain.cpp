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

namespace {

std::optional<exit_code> check_arguments(const request& r)
{
    if (const auto missing = check_platform(r.options_))
        return fail(*missing);
    const std::string& kind = r.arguments_[0];
    if (kind != "daemon" && kind != "host")
        return fail(
            exit_code::bad_input,
            kind + " cannot be drained",
            "name a daemon or a host");
    return std::nullopt;
}


std::string key_of(const request& r)
{
    return "drains/" + r.arguments_[0] + "/" + r.arguments_[1];
}


exit_code report(const request& r, const char* outcome)
{
    print(
        json::object{{"outcome", outcome}, {"id", r.arguments_[1]}},
        r.options_.output_);
    return exit_code::ok;
}

} // namespace

exit_code drain(const request& r)
{
    if (const auto code = check_arguments(r))
        return *code;
    platform_session session(r.options_);
    const json::object wish{
        {"author", r.options_.author_}, {"note", r.options_.note_}};
    const auto outcome =
        session.put(key_of(r), json::serialize(wish), platform::if_absent{});
    if (std::holds_alternative<platform::written>(outcome))
        return report(r, "draining");
    if (std::holds_alternative<platform::condition_failed>(outcome))
        return report(r, "already draining");
    return fail_write(key_of(r), outcome);
}


exit_code undrain(const request& r)
{
    if (const auto code = check_arguments(r))
        return *code;
    platform_session session(r.options_);
    const auto read = session.get(key_of(r));
    if (!base::ok(read))
        return fail(base::error(read));
    const auto& object = base::value(read);
    if (!object)
        return report(r, "not draining");
    const auto outcome = session.erase(key_of(r), object->version_);
    if (std::holds_alternative<platform::written>(outcome))
        return report(r, "not draining");
    return fail_write(key_of(r), outcome);
}


exit_code list_drains(const request& r)
{
    return print_objects(r.options_, "drains/", "drain");
}

} // namespace monsoondockctl
