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

struct file_diff
{
    settings::revision base_revision_;
    std::vector<settings::tree_change> changes_;
};

using file_diff_result = std::variant<file_diff, exit_code>;


/// Compares the tree file with the accepted tree.
file_diff_result
diff_with_file(platform_session& session, const command_input& input)
{
    auto desired = settings::load_tree_file(input.arguments_[0]);
    if (const auto* faults = std::get_if<settings::findings>(&desired))
        return fail(*faults);
    auto tree = read_tree(session);
    if (!base::ok(tree))
        return fail(base::error(tree));
    return file_diff{
        base::value(tree).revision_,
        diff(base::value(tree), std::get<settings::settings_tree>(desired))};
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

exit_code settings_apply(const command_input& input)
{
    if (const auto missing = check_platform(input.options_))
        return fail(*missing);
    platform_session session(input.options_);
    const file_diff_result compared = diff_with_file(session, input);
    if (const auto* code = std::get_if<exit_code>(&compared))
        return *code;
    const auto& difference = std::get<file_diff>(compared);
    if (input.options_.if_revision_ &&
        *input.options_.if_revision_ != difference.base_revision_)
        return fail(
            exit_code::conflict,
            "the accepted revision is " +
                std::to_string(difference.base_revision_.value_),
            "look at `settings diff`, bring the file up to date and apply "
            "again");
    return accept_edit(session, input.options_, difference.changes_);
}


exit_code settings_diff(const command_input& input)
{
    if (const auto missing = check_platform(input.options_))
        return fail(*missing);
    platform_session session(input.options_);
    const file_diff_result compared = diff_with_file(session, input);
    if (const auto* code = std::get_if<exit_code>(&compared))
        return *code;
    print(
        rows_of(std::get<file_diff>(compared).changes_),
        input.options_.output_);
    return exit_code::ok;
}

} // namespace monsoondockctl
