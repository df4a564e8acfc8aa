#include "command.hpp"
#include "failure.hpp"
#include "print.hpp"

#include <monsoondock/settings/setting_description.hpp>
#include <monsoondock/settings/tree_file.hpp>

#include <boost/json.hpp>

namespace monsoondockctl {

namespace json = boost::json;
namespace settings = monsoondock::settings;

exit_code settings_check(const command_input& input)
{
    const auto tree = settings::load_tree_file(input.arguments_[0]);
    if (const auto* faults = std::get_if<settings::findings>(&tree))
        return fail(*faults);
    const auto& nodes = std::get<settings::settings_tree>(tree).nodes_;
    print(
        json::object{{"outcome", "valid"}, {"nodes", nodes.size()}},
        input.options_.output_);
    return exit_code::ok;
}


exit_code settings_keys(const command_input& input)
{
    json::array rows;
    for (const auto& key : settings::describe_settings()) {
        std::string levels;
        for (const settings::level l : key.levels_)
            levels += (levels.empty() ? "" : ", ") + std::string(to_string(l));
        rows.push_back(json::object{
            {"key", key.key_},
            {"default", key.default_},
            {"allowed", key.allowed_},
            {"levels", levels},
            {"meaning", key.meaning_}});
    }
    print(rows, input.options_.output_);
    return exit_code::ok;
}

} // namespace monsoondockctl
