#include <monsoondock/base/byte_budget.hpp>

#include <criterion/criterion.h>

using namespace monsoondock::base;


Test(byte_budget, leases_share_the_budget)
{
    byte_budget budget{100, 10, 0};
    byte_lease a(budget);
    byte_lease b(budget);
    cr_assert(a.resize(60));
    cr_assert_not(b.resize(50));
    cr_assert_eq(budget.held_bytes_, 60);
    cr_assert(a.resize(40));
    cr_assert(b.resize(50));
    cr_assert_eq(budget.held_bytes_, 90);
}


Test(byte_budget, small_users_need_no_share)
{
    byte_budget budget{100, 10, 0};
    byte_lease a(budget);
    byte_lease b(budget);
    cr_assert(a.resize(100));
    cr_assert(b.resize(10));
    cr_assert_not(b.resize(11));
}


Test(byte_budget, leases_return_their_bytes_once)
{
    byte_budget budget{100, 10, 0};
    {
        byte_lease a(budget);
        cr_assert(a.resize(80));
        byte_lease b = std::move(a);
        a = byte_lease(budget);
        cr_assert_eq(budget.held_bytes_, 80);
        b = byte_lease(budget);
        cr_assert_eq(budget.held_bytes_, 0);
        cr_assert(a.resize(30));
    }
    cr_assert_eq(budget.held_bytes_, 0);
}
