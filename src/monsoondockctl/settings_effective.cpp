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
void override_if_set(std::optional<Id>& target, const Id& id)
{
    if (!id.value_.empty())
        target = id;
}


/// Overrides coordinates of a place with those that the path gives. Returns
/// nothing when the path is malformed.
std::optional<settings::place>
apply_path(settings::place place, const std::vector<std::string>& arguments)
{
    if (arguments.empty())
        return place;
    const auto parts = settings::parse_path({arguments[0]});
    if (!parts)
        return std::nullopt;
    override_if_set(place.region_, parts->region_);
    override_if_set(place.data_centre_, parts->data_centre_);
    override_if_set(place.deployment_, parts->deployment_);
    override_if_set(place.workspace_, parts->workspace_);
    return place;
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

exit_code settings_effective(const command_input& input)
{
    if (const auto missing = check_platform(input.options_))
        return fail(*missing);
    const auto place = apply_path(input.options_.place_, input.arguments_);
    if (!place)
        return fail(
            exit_code::bad_input,
            input.arguments_[0] + " is not a valid path",
            "see the paths with `settings get`");
    platform_session session(input.options_);
    auto tree = read_tree(session);
    if (!base::ok(tree))
        return fail(base::error(tree));
    const auto values = settings::effective(base::value(tree), *place);
    if (!base::ok(values))
        return fail(base::error(values));
    print(rows_of(base::value(values)), input.options_.output_);
    return exit_code::ok;
}

} // namespace monsoondockctl
