#include <monsoondock/claims/retry_decision.hpp>

#include <criterion/criterion.h>

#include <array>

using namespace monsoondock::claims;

namespace {

constexpr auto NOT_RUN = execution_status::not_run;
constexpr auto UNKNOWN = execution_status::unknown;


struct expectation
{
    exchange_failure failure_;
    // Indexed by run_state: unsent, maybe_sent, answered.
    std::array<retry_decision, 3> idempotent_;
    std::array<retry_decision, 3> at_most_once_;
};

constexpr std::array<expectation, EXCHANGE_FAILURE_COUNT> EXPECTATIONS{{
    {exchange_failure::no_upstream,
     {{{NOT_RUN, false}, {UNKNOWN, false}, {UNKNOWN, false}}},
     {{{NOT_RUN, false}, {UNKNOWN, false}, {UNKNOWN, false}}}},
    {exchange_failure::connect_failed,
     {{{NOT_RUN, true}, {UNKNOWN, true}, {UNKNOWN, true}}},
     {{{NOT_RUN, true}, {UNKNOWN, false}, {UNKNOWN, false}}}},
    {exchange_failure::connection_lost,
     {{{NOT_RUN, true}, {UNKNOWN, true}, {UNKNOWN, true}}},
     {{{NOT_RUN, true}, {UNKNOWN, false}, {UNKNOWN, false}}}},
    {exchange_failure::timeout,
     {{{NOT_RUN, true}, {UNKNOWN, true}, {UNKNOWN, true}}},
     {{{NOT_RUN, true}, {UNKNOWN, false}, {UNKNOWN, false}}}},
    {exchange_failure::malformed_answer,
     {{{NOT_RUN, true}, {UNKNOWN, true}, {UNKNOWN, true}}},
     {{{NOT_RUN, true}, {UNKNOWN, false}, {UNKNOWN, false}}}},
    {exchange_failure::refused_before_run,
     {{{NOT_RUN, true}, {UNKNOWN, true}, {NOT_RUN, true}}},
     {{{NOT_RUN, true}, {UNKNOWN, false}, {UNKNOWN, false}}}},
    {exchange_failure::caller_left,
     {{{NOT_RUN, false}, {UNKNOWN, false}, {UNKNOWN, false}}},
     {{{NOT_RUN, false}, {UNKNOWN, false}, {UNKNOWN, false}}}},
    {exchange_failure::deadline_passed,
     {{{NOT_RUN, false}, {UNKNOWN, false}, {UNKNOWN, false}}},
     {{{NOT_RUN, false}, {UNKNOWN, false}, {UNKNOWN, false}}}},
    {exchange_failure::store_unavailable,
     {{{NOT_RUN, false}, {UNKNOWN, false}, {UNKNOWN, false}}},
     {{{NOT_RUN, false}, {UNKNOWN, false}, {UNKNOWN, false}}}},
}};

} // namespace


Test(retry_decision, decides_every_combination)
{
    for (std::size_t f = 0; f < EXPECTATIONS.size(); ++f) {
        const expectation& e = EXPECTATIONS[f];
        cr_assert(static_cast<std::size_t>(e.failure_) == f);
        for (int s = 0; s < 3; ++s) {
            const auto state = static_cast<run_state>(s);
            cr_expect(
                decide_retry(state, e.failure_, call_semantics::idempotent) ==
                    e.idempotent_[s],
                "idempotent, failure %zu, state %d",
                f,
                s);
            cr_expect(
                decide_retry(state, e.failure_, call_semantics::at_most_once) ==
                    e.at_most_once_[s],
                "at most once, failure %zu, state %d",
                f,
                s);
        }
    }
}
