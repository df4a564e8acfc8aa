#include "command.hpp"

namespace monsoondockctl {

namespace {

constexpr std::size_t max_log_files = 1000;

} // namespace

const std::vector<command>& all_commands()
{
    static const std::vector<command> all{
        {"settings get",
         "[PATH]",
         "Prints the values set on a node, without inherited ones, in tree "
         "file "
         "format. Prints the whole tree when PATH is omitted.",
         0,
         1,
         settings_get},
        {"settings effective",
         "[PATH]",
         "Prints every value in effect at a place in the tree and the level "
         "that it comes from. PATH and the flags --region, --data_centre, "
         "--deployment and --workspace select the place.",
         0,
         1,
         settings_effective},
        {"settings set",
         "PATH KEY VALUE",
         "Sets one value, for example org/west limits.max_body_bytes 65536.",
         3,
         3,
         settings_set},
        {"settings unset",
         "PATH KEY",
         "Removes one value from a node, which then inherits it.",
         2,
         2,
         settings_unset},
        {"settings apply",
         "FILE",
         "Replaces the tree with the contents of a tree file. With "
         "--if_revision only if that is still the accepted revision.",
         1,
         1,
         settings_apply},
        {"settings diff",
         "FILE",
         "Prints the changes that settings apply would make.",
         1,
         1,
         settings_diff},
        {"settings history",
         "",
         "Prints the latest accepted revisions, the newest last.",
         0,
         0,
         settings_history},
        {"settings check",
         "FILE",
         "Validates a tree file without contacting the platform.",
         1,
         1,
         settings_check},
        {"settings keys",
         "",
         "Prints every key with its default, range, levels and meaning.",
         0,
         0,
         settings_keys},
        {"settings status",
         "",
         "Prints the settings revision in force on every daemon.",
         0,
         0,
         settings_status},
        {"groups", "", "Prints the replica groups.", 0, 0, list_groups},
        {"hosts",
         "",
         "Prints the hosts registered with the platform.",
         0,
         0,
         list_hosts},
        {"members",
         "",
         "Prints the daemons known to the daemon at --daemon.",
         0,
         0,
         list_members},
        {"drain",
         "daemon|host ID",
         "Requests that no new work is sent to a daemon or a host.",
         2,
         2,
         drain},
        {"undrain", "daemon|host ID", "Cancels a drain.", 2, 2, undrain},
        {"drains", "", "Prints the requested drains.", 0, 0, list_drains},
        {"explain",
         "",
         "Prints how the daemon at --daemon would route a request of "
         "--workspace to --deployment.",
         0,
         0,
         explain},
        {"explain-request",
         "ID FILE...",
         "Prints the events of one request from daemon logs; - reads standard "
         "input.",
         2,
         max_log_files,
         explain_request},
        {"report",
         "FILE...",
         "Prints an HTML page with plots from daemon logs: answers in time and "
         "late, unsuccessful requests by reason, groups by state.",
         1,
         max_log_files,
         report},
        {"entry-hosts",
         "",
         "Prints the entry hosts that the daemon at --daemon returns to the "
         "workspace of --api_key_file.",
         0,
         0,
         entry_hosts},
        {"suspects list",
         "",
         "Prints the requests that are refused because upstreams crashed while "
         "running them.",
         0,
         0,
         suspects_list},
        {"suspects lift",
         "FINGERPRINT",
         "Allows a suspect request to run again.",
         1,
         1,
         suspects_lift}};
    return all;
}

} // namespace monsoondockctl
