#include <monsoondock/hostpace/compare.hpp>

#include <criterion/criterion.h>

#include <cmath>

using namespace monsoondock::hostpace;

namespace {

struct model_upstreams
{
    explicit model_upstreams(const std::vector<double>& factors)
        : states_(factors.size())
    {
        for (std::size_t i = 0; i < factors.size(); ++i) {
            states_[i].log_factor_ = std::log2(factors[i]);
            all_.push_back(&states_[i]);
        }
    }

    std::vector<pace_state> states_;
    std::vector<pace_state*> all_;
};

} // namespace

// If all upstreams are slow, sending less to each of them changes nothing.
Test(compare, all_slow_at_once_are_equal)
{
    model_upstreams m({4, 4.2, 3.8, 4});
    cr_assert(compare(m.all_).empty());
    for (const pace_state& s : m.states_) {
        cr_assert_eq(s.relative_, 1);
        cr_assert_not(must_report(s));
    }
}


Test(compare, a_minority_of_stragglers_is_slow)
{
    model_upstreams m({1, 1.1, 4, 0.9, 1, 1});
    const auto changed = compare(m.all_);
    cr_assert_eq(changed.size(), 1);
    cr_assert(changed.front()->slow_);
    cr_assert(must_report(m.states_[2]));
    cr_assert_gt(m.states_[2].relative_, 3);
    cr_assert_eq(m.states_[1].relative_, 1);
    cr_assert(compare(m.all_).empty());
}


Test(compare, of_two_the_faster_is_normal)
{
    model_upstreams m({4, 1});
    cr_assert_eq(compare(m.all_).size(), 1);
    cr_assert_eq(m.states_[0].relative_, 4);
    cr_assert_eq(m.states_[1].relative_, 1);
}


// A factor at the edge would otherwise fill the log.
Test(compare, slow_ends_below_the_factor_at_which_it_began)
{
    model_upstreams m({1, 1, 1.6});
    cr_assert_eq(compare(m.all_).size(), 1);
    m.states_[2].log_factor_ = std::log2(1.4);
    cr_assert(compare(m.all_).empty());
    cr_assert(m.states_[2].slow_);
    m.states_[2].log_factor_ = std::log2(1.2);
    cr_assert_eq(compare(m.all_).size(), 1);
    cr_assert_not(m.states_[2].slow_);
}


Test(compare, nothing_to_compare)
{
    cr_assert(compare({}).empty());
}
