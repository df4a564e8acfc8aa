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


std::optional<settings::finding>
set_one(settings::settings_tree& tree, const std::vector<std::string>& words)
{
    return set_value(tree, {words[0]}, words[1], words[2]);
}


std::optional<settings::finding>
unset_one(settings::settings_tree& tree, const std::vector<std::string>& words)
{
    return unset_value(tree, {words[0]}, words[1]);
}


exit_code edit(const request& r, edit_function change)
{
    if (const auto missing = check_platform(r.options_))
        return fail(*missing);
    platform_session session(r.options_);
    auto tree = read_tree(session);
    if (!base::ok(tree))
        return fail(base::error(tree));
    settings::settings_tree after = base::value(tree);
    if (const auto fault = change(after, r.arguments_))
        return fail(settings::findings{*fault});
    return accept_edit(session, r.options_, diff(base::value(tree), after));
}

} // namespace

exit_code settings_set(const request& r)
{
    return edit(r, set_one);
}


exit_code settings_unset(const request& r)
{
    return edit(r, unset_one);
}

} // namespace monsoondockctl
