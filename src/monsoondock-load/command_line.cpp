#include "command_line.hpp"

#include <monsoondock/standin/process.hpp>

#include <boost/system/system_error.hpp>
#include <gflags/gflags.h>

#include <sstream>

DEFINE_string(entry, "", "daemons queried for entry hosts: address:port,...");
DEFINE_string(workspaces, "", "workspaces, largest first: name=API key,...");
DEFINE_string(model, "copal-llm", "deployment of the completions");
DEFINE_string(service, "ledger-app", "deployment of the calls");
DEFINE_string(service_path, "/payouts", "path of the calls at the service");
DEFINE_string(profile, "steady", "load profile; see --list_profiles");
DEFINE_bool(list_profiles, false, "print the profiles and exit");
DEFINE_uint64(seed, 1, "seed of the random load plan");
DEFINE_double(rate, 10.0, "requests per second at rate factor 1");
DEFINE_uint32(duration_ms, 10000, "length of the plan in milliseconds");
DEFINE_uint32(max_requests, 20000, "maximum number of requests in the plan");
DEFINE_uint32(prefixes, 8, "number of prompt prefixes per workspace");
DEFINE_uint32(
    mean_tokens, 16, "mean number of tokens of an interactive answer");
DEFINE_uint32(timeout_ms, 30000, "timeout of a request in milliseconds");
DEFINE_uint32(
    interactive_deadline_ms,
    0,
    "deadline of interactive requests in milliseconds; 0: none");
DEFINE_uint32(
    report_deadline_ms, 0, "deadline of reports in milliseconds; 0: none");
DEFINE_uint32(
    call_deadline_ms, 0, "deadline of calls in milliseconds; 0: none");
DEFINE_string(
    verify_runs,
    "",
    "address of a service stand-in whose execution counts are checked after "
    "the run");
DEFINE_string(output, "text", "report format: text or json");

namespace monsoondock::load_tool {

namespace {

constexpr double MAX_RATE = 10000.0;
constexpr std::uint32_t MAX_DURATION_MS = 3600000;
constexpr std::uint32_t MAX_REQUESTS = 1000000;
constexpr std::uint32_t MAX_MEAN_TOKENS = 10000;

using std::chrono::milliseconds;


base::problem invalid(const std::string& flag, const std::string& allowed)
{
    return {
        base::problem_code::invalid_argument,
        "--" + flag + " has a value that is not allowed",
        "allowed: " + allowed};
}


std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');)
        parts.push_back(part);
    return parts;
}


bool is_address(const std::string& text)
{
    try {
        standin::parse_endpoint(text);
        return true;
    } catch (const boost::system::system_error&) {
        return false;
    }
}


bool are_addresses(const std::vector<std::string>& texts)
{
    for (const std::string& text : texts) {
        if (!is_address(text))
            return false;
    }
    return !texts.empty();
}


/// Parses name=key pairs; empty when one has no name or no '='.
std::vector<load::workspace> parse_workspaces(const std::string& text)
{
    std::vector<load::workspace> workspaces;
    for (const std::string& part : split(text)) {
        const std::size_t separator = part.find('=');
        if (separator == 0 || separator == std::string::npos)
            return {};
        workspaces.push_back(
            {{part.substr(0, separator)}, part.substr(separator + 1)});
    }
    return workspaces;
}


/// Returns the first numeric flag that is out of range; empty if there is none.
std::string flag_out_of_range()
{
    if (!(FLAGS_rate > 0.0 && FLAGS_rate <= MAX_RATE))
        return "rate";
    if (FLAGS_duration_ms == 0 || FLAGS_duration_ms > MAX_DURATION_MS)
        return "duration_ms";
    if (FLAGS_max_requests == 0 || FLAGS_max_requests > MAX_REQUESTS)
        return "max_requests";
    if (FLAGS_mean_tokens == 0 || FLAGS_mean_tokens > MAX_MEAN_TOKENS)
        return "mean_tokens";
    if (FLAGS_prefixes == 0)
        return "prefixes";
    if (FLAGS_timeout_ms == 0)
        return "timeout_ms";
    return {};
}


load::run_options run_options()
{
    load::run_options o;
    o.entry_hosts_ = split(FLAGS_entry);
    o.workspaces_ = parse_workspaces(FLAGS_workspaces);
    o.model_ = FLAGS_model;
    o.service_ = FLAGS_service;
    o.service_path_ = FLAGS_service_path;
    o.deadlines_ = {
        milliseconds(FLAGS_interactive_deadline_ms),
        milliseconds(FLAGS_report_deadline_ms),
        milliseconds(FLAGS_call_deadline_ms)};
    o.timeout_ = milliseconds(FLAGS_timeout_ms);
    o.verify_runs_ = FLAGS_verify_runs;
    return o;
}


load::plan_options
plan_options(const load::profile& profile, std::size_t workspaces)
{
    load::plan_options o;
    o.profile_ = profile;
    o.seed_ = FLAGS_seed;
    o.workspaces_ = workspaces;
    o.base_rate_ = FLAGS_rate;
    o.duration_ = milliseconds(FLAGS_duration_ms);
    o.max_requests_ = FLAGS_max_requests;
    o.prefixes_ = FLAGS_prefixes;
    o.mean_tokens_ = FLAGS_mean_tokens;
    return o;
}

} // namespace

base::result<command> read_command_line()
{
    const auto profile = load::find_profile(FLAGS_profile);
    if (!profile)
        return invalid("profile", load::profile_names());
    const std::string out_of_range = flag_out_of_range();
    if (!out_of_range.empty())
        return invalid(out_of_range, "see --help");
    if (FLAGS_output != "text" && FLAGS_output != "json")
        return invalid("output", "text, json");
    command c;
    c.run_ = run_options();
    if (!are_addresses(c.run_.entry_hosts_))
        return invalid("entry", "IP address:port, separated by commas");
    if (c.run_.workspaces_.empty())
        return invalid("workspaces", "name=key, separated by commas");
    if (!FLAGS_verify_runs.empty() && !is_address(FLAGS_verify_runs))
        return invalid("verify_runs", "IP address:port");
    c.plan_ = plan_options(*profile, c.run_.workspaces_.size());
    c.json_ = FLAGS_output == "json";
    return c;
}

} // namespace monsoondock::load_tool
