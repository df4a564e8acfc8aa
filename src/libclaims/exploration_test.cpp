#include "claim_simulation_test.hpp"

#include <criterion/criterion.h>

#include <cstdio>

using namespace monsoondock::claims::test;

namespace {

void expect_violation(protocol_variant v, const char* name)
{
    constexpr std::uint64_t SEEDS = 5000;
    for (std::uint64_t seed = 1; seed <= SEEDS; ++seed) {
        statistics totals;
        if (const auto violation = simulation(seed, v).explore(totals)) {
            std::printf(
                "variant=%s seed=%llu violation=\"%s\"\n",
                name,
                static_cast<unsigned long long>(seed),
                violation->c_str());
            return;
        }
    }
    cr_assert_fail("variant %s was not caught", name);
}

} // namespace


Test(exploration, correct_machine_keeps_the_invariants)
{
    constexpr std::uint64_t SEEDS = 30000;
    statistics totals;
    for (std::uint64_t seed = 1; seed <= SEEDS; ++seed) {
        const auto violation =
            simulation(seed, protocol_variant::correct).explore(totals);
        cr_assert(
            !violation,
            "seed %llu: %s",
            static_cast<unsigned long long>(seed),
            violation ? violation->c_str() : "");
    }
    std::printf(
        "seeds=%llu attempts=%ld runs=%ld replays=%ld not_run=%ld "
        "store_calls=%ld stuck_keys=%ld stuck_unsent=%ld\n",
        static_cast<unsigned long long>(SEEDS),
        totals.attempts_,
        totals.runs_,
        totals.replays_,
        totals.not_run_,
        totals.store_calls_,
        totals.stuck_,
        totals.stuck_unsent_);
}


Test(exploration, missing_claim_is_caught)
{
    expect_violation(protocol_variant::no_claim, "no_claim");
}


Test(exploration, retry_after_maybe_sent_is_caught)
{
    expect_violation(
        protocol_variant::retry_after_maybe_sent, "retry_after_maybe_sent");
}


Test(exploration, token_not_compared_is_caught)
{
    expect_violation(
        protocol_variant::token_not_compared, "token_not_compared");
}


Test(exploration, release_after_maybe_sent_is_caught)
{
    expect_violation(
        protocol_variant::released_after_maybe_sent,
        "released_after_maybe_sent");
}
