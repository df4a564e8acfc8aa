#include "command.hpp"
#include "current_tree.hpp"
#include "failure.hpp"
#include "print.hpp"

#include <monsoondock/settings/effective.hpp>
#include <monsoondock/settings/formatted_value.hpp>

#include <boost/json.hpp>

namespace monsoondockctl {

namespace json = boost::json;
namespace base = monsoondock::base;
namespace settings = monsoondock::settings;

namespace {

template <class Id>
void set_part(std::optional<Id>& target, const Id& id)
{
    if (!id.value_.empty())
        target = id;
}


/// Adds what a path says to the place that the flags name.
std::optional<settings::place>
place_of(settings::place where, const std::vector<std::string>& arguments)
{
    if (arguments.empty())
        return where;
    const auto parts = settings::parse_path({arguments[0]});
    if (!parts)
        return std::nullopt;
    set_part(where.region_, parts->region_);
    set_part(where.data_centre_, parts->data_centre_);
    set_part(where.deployment_, parts->deployment_);
    set_part(where.workspace_, parts->workspace_);
    return where;
}


json::array rows_of(const settings::effective_values& values)
{
    json::array rows;
    for (const settings::formatted_value& value : format_values(values))
        rows.push_back(json::object{
            {"key", value.key_},
            {"value", value.text_},
            {"level", to_string(value.level_)},
            {"path", value.path_.value_.empty() ? "-" : value.path_.value_}});
    return rows;
}

} // namespace

exit_code settings_effective(const request& r)
{
    if (const auto missing = check_platform(r.options_))
        return fail(*missing);
    const auto where = place_of(r.options_.place_, r.arguments_);
    if (!where)
        return fail(
            exit_code::bad_input,
            r.arguments_[0] + " is not the path of a level",
            "see the paths with `settings get`");
    platform_session session(r.options_);
    auto tree = read_tree(session);
    if (!base::ok(tree))
        return fail(base::error(tree));
    const auto values = settings::effective(base::value(tree), *where);
    if (!base::ok(values))
        return fail(base::error(values));
    print(rows_of(base::value(values)), r.options_.output_);
    return exit_code::ok;
}

} // namespace monsoondockctl
