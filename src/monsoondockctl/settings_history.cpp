#include "command.hpp"
#include "current_tree.hpp"
#include "failure.hpp"
#include "print.hpp"

#include <boost/json.hpp>

namespace monsoondockctl {

namespace json = boost::json;
namespace base = monsoondock::base;

exit_code settings_history(const command_input& input)
{
    if (const auto missing = check_platform(input.options_))
        return fail(*missing);
    platform_session session(input.options_);
    const auto head = read_head(session);
    if (!base::ok(head))
        return fail(base::error(head));
    json::array rows;
    for (const auto& entry : base::value(head).history_)
        rows.push_back(json::object{
            {"revision", entry.revision_.value_},
            {"author", entry.author_},
            {"note", entry.note_}});
    print(rows, input.options_.output_);
    return exit_code::ok;
}

} // namespace monsoondockctl
