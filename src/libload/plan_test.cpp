#include <monsoondock/load/plan.hpp>

#include <criterion/criterion.h>

#include <set>

using namespace monsoondock::load;


static plan_options options_of(const char* name)
{
    plan_options o;
    o.profile_ = *find_profile(name);
    o.workspaces_ = 5;
    o.base_rate_ = 100.0;
    o.duration_ = std::chrono::seconds(20);
    return o;
}


static std::size_t
count_between(const std::vector<arrival>& plan, double from, double to)
{
    std::size_t count = 0;
    for (const arrival& a : plan) {
        const double at = std::chrono::duration<double>(a.at_).count();
        count += at >= from && at < to ? 1 : 0;
    }
    return count;
}


Test(plan, the_same_seed_gives_the_same_plan)
{
    plan_options o = options_of("steady");
    const auto first = make_plan(o);
    cr_assert(first == make_plan(o));
    o.seed_ = 2;
    cr_assert(first != make_plan(o));
}


Test(plan, is_ordered_and_respects_its_rate_and_maximum)
{
    plan_options o = options_of("steady");
    const auto plan = make_plan(o);
    cr_assert(plan.size() > 1800 && plan.size() < 2200);
    for (std::size_t i = 1; i < plan.size(); ++i)
        cr_assert(plan[i - 1].at_ <= plan[i].at_);
    o.max_requests_ = 10;
    cr_assert(make_plan(o).size() == 10);
}


Test(plan, skews_workspaces_and_contains_every_class)
{
    std::vector<std::size_t> sizes(5);
    std::set<request_class> classes;
    for (const arrival& a : make_plan(options_of("skewed"))) {
        ++sizes[a.workspace_index_];
        classes.insert(a.class_);
    }
    cr_assert(sizes[0] > 4 * sizes[4]);
    cr_assert(classes.size() == 3);
}


Test(plan, market_day_bursts_and_overload_doubles)
{
    const auto market = make_plan(options_of("resinas-market-day"));
    cr_assert(count_between(market, 8, 11) > 4 * count_between(market, 1, 4));
    const auto steady = make_plan(options_of("steady")).size();
    const auto overload = make_plan(options_of("overload-2x")).size();
    cr_assert(overload > 1.8 * static_cast<double>(steady));
}


Test(plan, prompts_and_keys_are_unique)
{
    std::set<std::string> seen;
    for (const arrival& a : make_plan(options_of("sabarmati-day-shift"))) {
        const bool call = a.class_ == request_class::call;
        const auto& name =
            call ? a.idempotency_key_ : a.messages_.back().content_;
        cr_assert(seen.insert(name).second);
    }
}


Test(profile, find_returns_nullopt_for_an_unknown_name)
{
    cr_assert(!find_profile("calm").has_value());
}
