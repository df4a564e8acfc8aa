#include "platform/users_platform_adapter.hpp"

#include <monsoondock/daemon/run_daemon.hpp>
#include <monsoondock/entry/run_entry.hpp>
#include <monsoondock/settings/daemon_config.hpp>
#include <monsoondock/settings/entry_config.hpp>

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <iostream>

DEFINE_string(config, "", "TOML file with the settings of this daemon");
DEFINE_bool(entry, false, "serve callers on the users' platform");
DEFINE_bool(check, false, "check the settings file and exit");
DECLARE_bool(help);
DECLARE_bool(version);

namespace {

namespace settings = monsoondock::settings;

constexpr int exit_failed = 1;
constexpr int exit_bad_usage = 2;

constexpr const char* usage =
    "usage: monsoondockd [--entry] --config FILE [--check]\n"
    "\n"
    "Runs one entry host: it serves callers and takes part in the control of\n"
    "model groups.\n"
    "\n"
    "  --entry        serve callers on the users' platform, whose store holds\n"
    "                 routes, keys and hosts; the file then has the keys of "
    "an\n"
    "                 entry daemon (docs/settings.md)\n"
    "  --config FILE  TOML file with the settings of this daemon\n"
    "  --check        check the file, print what is wrong, and exit\n"
    "  --version      print the version and exit\n"
    "  --help         print this text and exit\n"
    "\n"
    "SIGTERM stops it gracefully; a second one stops it at once, but changes\n"
    "nothing with --entry. The log goes to standard error, with --entry to\n"
    "standard output. Exit codes: 0 stopped or checked, 1 failed, 2 bad usage\n"
    "or bad settings.\n";


int report_findings(const settings::findings& found)
{
    for (const settings::finding& f : found)
        std::cerr << "monsoondockd: " << settings::to_string(f) << '\n';
    return exit_bad_usage;
}


int report_result(
    const monsoondock::base::result<monsoondock::base::done>& result)
{
    if (monsoondock::base::ok(result))
        return 0;
    std::cerr << "monsoondockd: "
              << monsoondock::base::to_string(monsoondock::base::error(result))
              << '\n';
    return exit_failed;
}


void start_logging(const char* program)
{
    // The hosts have no disks, so no log file is written.
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(program);
}


// Reports errors in the settings, or runs the daemon unless --check is given.
template <class Config, class Run>
int check_and_run(
    const settings::checked<Config>& loaded, const char* program, Run run)
{
    if (const auto* found = std::get_if<settings::findings>(&loaded))
        return report_findings(*found);
    if (FLAGS_check) {
        std::cout << FLAGS_config << ": no faults\n";
        return 0;
    }
    start_logging(program);
    return report_result(run(std::get<Config>(loaded)));
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    if (FLAGS_help) {
        std::cout << usage;
        return 0;
    }
    if (FLAGS_version) {
        std::cout << "monsoondockd " << MONSOONDOCK_VERSION << '\n';
        return 0;
    }
    if (FLAGS_config.empty() || argc > 1) {
        std::cerr << "monsoondockd: --config FILE is required; "
                     "see --help\n";
        return exit_bad_usage;
    }
    if (FLAGS_entry)
        return check_and_run(
            settings::load_entry_config(FLAGS_config),
            argv[0],
            [](const settings::entry_config& c) {
                return monsoondock::entry::run_entry(
                    c, monsoondock::adapter::users_platform_adapter());
            });
    return check_and_run(
        settings::load_daemon_config(FLAGS_config),
        argv[0],
        [](const settings::daemon_config& c) {
            return monsoondock::daemon::run_daemon(c);
        });
}
