#include "print_objects.hpp"

#include "current_tree.hpp"
#include "failure.hpp"
#include "print.hpp"

#include <boost/json.hpp>

namespace monsoondockctl {

namespace json = boost::json;
namespace base = monsoondock::base;

exit_code print_objects(
    const options& o, const std::string& prefix, const std::string& name)
{
    if (const auto missing = check_platform(o))
        return fail(*missing);
    platform_session session(o);
    const auto listing = session.list(prefix);
    if (!base::ok(listing))
        return fail(base::error(listing));
    json::array rows;
    for (const auto& object : base::value(listing).objects_) {
        json::object row{{name, object.key_.substr(prefix.size())}};
        boost::system::error_code error;
        const json::value value = json::parse(object.value_, error);
        if (const json::object* fields = value.if_object()) {
            for (const auto& field : *fields)
                row.emplace(field.key(), field.value());
        }
        rows.push_back(std::move(row));
    }
    print(rows, o.output_);
    return exit_code::ok;
}

} // namespace monsoondockctl
