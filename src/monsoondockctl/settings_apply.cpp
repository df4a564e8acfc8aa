#include "accept_edit.hpp"
#include "command.hpp"
#include "current_tree.hpp"
#include "failure.hpp"
#include "print.hpp"

#include <monsoondock/settings/tree_file.hpp>

#include <boost/json.hpp>

namespace monsoondockctl {

namespace json = boost::json;
namespace base = monsoondock::base;
namespace settings = monsoondock::settings;

namespace {

struct planned
{
    settings::revision from_;
    std::vector<settings::tree_change> changes_;
};

using plan = std::variant<planned, exit_code>;


/// Compares the file with the accepted tree.
plan make_plan(platform_session& session, const request& r)
{
    auto wanted = settings::load_tree_file(r.arguments_[0]);
    if (const auto* faults = std::get_if<settings::findings>(&wanted))
        return fail(*faults);
    auto tree = read_tree(session);
    if (!base::ok(tree))
        return fail(base::error(tree));
    return planned{
        base::value(tree).revision_,
        diff(base::value(tree), std::get<settings::settings_tree>(wanted))};
}


json::value text_or_null(const std::optional<std::string>& text)
{
    return text ? json::value(*text) : json::value(nullptr);
}


json::array rows_of(const std::vector<settings::tree_change>& changes)
{
    json::array rows;
    for (const settings::tree_change& change : changes)
        rows.push_back(json::object{
            {"path", change.path_.value_},
            {"key", change.key_.empty() ? "(node)" : change.key_},
            {"before", text_or_null(change.before_)},
            {"after", text_or_null(change.after_)}});
    return rows;
}

} // namespace

exit_code settings_apply(const request& r)
{
    if (const auto missing = check_platform(r.options_))
        return fail(*missing);
    platform_session session(r.options_);
    const plan made = make_plan(session, r);
    if (const auto* code = std::get_if<exit_code>(&made))
        return *code;
    const auto& p = std::get<planned>(made);
    if (r.options_.if_revision_ && *r.options_.if_revision_ != p.from_)
        return fail(
            exit_code::conflict,
            "the accepted revision is " + std::to_string(p.from_.value_),
            "look at `settings diff`, bring the file up to date and apply "
            "again");
    return accept_edit(session, r.options_, p.changes_);
}


exit_code settings_diff(const request& r)
{
    if (const auto missing = check_platform(r.options_))
        return fail(*missing);
    platform_session session(r.options_);
    const plan made = make_plan(session, r);
    if (const auto* code = std::get_if<exit_code>(&made))
        return *code;
    print(rows_of(std::get<planned>(made).changes_), r.options_.output_);
    return exit_code::ok;
}

} // namespace monsoondockctl
