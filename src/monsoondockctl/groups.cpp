#include "command.hpp"
#include "current_tree.hpp"
#include "failure.hpp"
#include "print.hpp"

#include <boost/json.hpp>

namespace monsoondockctl {

namespace json = boost::json;
namespace base = monsoondock::base;

exit_code list_groups(const command_input& input)
{
    if (const auto missing = check_platform(input.options_))
        return fail(*missing);
    const std::string prefix = "domains/";
    platform_session session(input.options_);
    const auto listing = session.list(prefix);
    if (!base::ok(listing))
        return fail(base::error(listing));
    json::array rows;
    for (const auto& object : base::value(listing).objects_) {
        boost::system::error_code error;
        const json::value value = json::parse(object.value_, error);
        const json::value* groups =
            value.is_object() ? value.get_object().if_contains("groups")
                              : nullptr;
        if (groups == nullptr || !groups->is_array())
            continue;
        for (const json::value& group : groups->get_array()) {
            if (!group.is_object())
                continue;
            json::object row{
                {"fabric_domain", object.key_.substr(prefix.size())}};
            for (const auto& field : group.get_object())
                row.emplace(field.key(), field.value());
            rows.push_back(std::move(row));
        }
    }
    print(rows, input.options_.output_);
    return exit_code::ok;
}

} // namespace monsoondockctl
