#include <monsoondock/claims/call_key.hpp>
#include <monsoondock/claims/claim_record.hpp>
#include <monsoondock/claims/sweep.hpp>
#include <monsoondock/platform/memory_store.hpp>

#include <criterion/criterion.h>


using namespace monsoondock;
using namespace monsoondock::claims;
using namespace std::chrono_literals;


namespace {

claim_retention retain_one_day(const base::deployment_id& /*service*/)
{
    return {24h, 720h};
}

} // namespace


Test(sweep, deletes_the_oldest_expired_claims_and_no_more_than_the_limit)
{
    platform::memory_store store;
    for (int i = 0; i < 40; ++i) {
        claim_record r;
        r.phase_ = i % 2 ? claim_phase::claimed : claim_phase::finished;
        if (r.phase_ == claim_phase::finished)
            r.outcome_ = to_kept_outcome({200, "", "ok"});
        r.claimed_at_ = wall_time(std::chrono::hours(i));
        const std::string key =
            sweep_prefix(7) + std::to_string(100 - i) + "rest";
        store.put(key, encode(r), platform::if_absent{});
    }
    const auto plan = plan_sweep(
        store.list(sweep_prefix(7)), retain_one_day, wall_time(34h + 1ms), 4);
    cr_assert(plan.size() == 4);
    cr_assert(plan.front().key_ == "claims/007100rest");
    const auto all = plan_sweep(
        store.list(sweep_prefix(7)),
        retain_one_day,
        wall_time(34h + 1ms),
        1000);
    cr_assert(all.size() == 6, "finished claims of hours 0 to 10");
}


Test(sweep, every_range_has_one_sweeper)
{
    std::vector<base::daemon_id> members;
    for (int i = 0; i < 8; ++i)
        members.push_back({std::string("d").append(std::to_string(i))});
    for (unsigned range = 0; range < SWEEP_RANGE_COUNT; ++range) {
        int sweepers = 0;
        for (const auto& self : members)
            sweepers += is_sweeper(range, self, members);
        cr_assert(sweepers == 1);
    }
    const call_key key{{"w"}, {"s"}, {"k"}};
    unsigned holders = 0;
    for (unsigned range = 0; range < SWEEP_RANGE_COUNT; ++range)
        holders += claim_object_key(key).starts_with(sweep_prefix(range));
    cr_assert(holders == 1);
}
