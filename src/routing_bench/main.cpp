#include "experiments.hpp"

#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "seed of the random number generators");
DEFINE_int32(seconds, 300, "simulated length of each run in seconds");
DEFINE_string(
    only,
    "",
    "experiment: routing, overload, fairness, limits or retries; "
    "empty: all");

using namespace monsoondock::routing_bench;

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "Simulates routing, admission, rate limits and retries and compares "
        "them with baselines.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const run_options options{FLAGS_seed, std::chrono::seconds(FLAGS_seconds)};
    const auto is_selected = [](const char* name) {
        return FLAGS_only.empty() || FLAGS_only == name;
    };
    if (is_selected("routing"))
        compare_routing(options);
    if (is_selected("overload"))
        compare_overload(options);
    if (is_selected("fairness"))
        compare_fairness(options);
    if (is_selected("limits"))
        compare_limits(options);
    if (is_selected("retries"))
        compare_retries(options);
    return 0;
}
