#include "experiments.hpp"

#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "seed of every random number");
DEFINE_int32(seconds, 300, "length of each run on the injected clock");
DEFINE_string(only, "", "routing, overload, fairness, limits or retries");

using namespace monsoondock::routing_bench;

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("compares routing decisions with baselines");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const run_options options{FLAGS_seed, std::chrono::seconds(FLAGS_seconds)};
    const auto wanted = [](const char* name) {
        return FLAGS_only.empty() || FLAGS_only == name;
    };
    if (wanted("routing"))
        compare_routing(options);
    if (wanted("overload"))
        compare_overload(options);
    if (wanted("fairness"))
        compare_fairness(options);
    if (wanted("limits"))
        compare_limits(options);
    if (wanted("retries"))
        compare_retries(options);
    return 0;
}
