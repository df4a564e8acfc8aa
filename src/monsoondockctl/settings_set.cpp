#include "accept_edit.hpp"
#include "command.hpp"
#include "current_tree.hpp"
#include "failure.hpp"

namespace monsoondockctl {

namespace base = monsoondock::base;
namespace settings = monsoondock::settings;

namespace {

using edit_function = std::optional<settings::finding> (*)(
    settings::settings_tree&, const std::vector<std::string>&);


std::optional<settings::finding> set_one(
    settings::settings_tree& tree, const std::vector<std::string>& arguments)
{
    return set_value(tree, {arguments[0]}, arguments[1], arguments[2]);
}


std::optional<settings::finding> unset_one(
    settings::settings_tree& tree, const std::vector<std::string>& arguments)
{
    return unset_value(tree, {arguments[0]}, arguments[1]);
}


exit_code edit_tree(const command_input& input, edit_function apply_change)
{
    if (const auto missing = check_platform(input.options_))
        return fail(*missing);
    platform_session session(input.options_);
    auto tree = read_tree(session);
    if (!base::ok(tree))
        return fail(base::error(tree));
    settings::settings_tree after = base::value(tree);
    if (const auto fault = apply_change(after, input.arguments_))
        return fail(settings::findings{*fault});
    return accept_edit(session, input.options_, diff(base::value(tree), after));
}

} // namespace

exit_code settings_set(const command_input& input)
{
    return edit_tree(input, set_one);
}


exit_code settings_unset(const command_input& input)
{
    return edit_tree(input, unset_one);
}

} // namespace monsoondockctl
