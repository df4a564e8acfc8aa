#include <monsoondock/base/query_parameter.hpp>

#include <criterion/criterion.h>

using monsoondock::base::query_parameter;

Test(query_parameter, finds_each_value)
{
    constexpr const char* target = "/hosts?source=a.1&after=7&empty=";
    cr_assert(query_parameter(target, "source") == "a.1");
    cr_assert(query_parameter(target, "after") == "7");
    cr_assert(query_parameter(target, "empty").empty());
}


Test(query_parameter, matches_only_whole_names)
{
    cr_assert(query_parameter("/hosts?aafter=1&after=2", "after") == "2");
    cr_assert(query_parameter("/hosts?after", "after").empty());
    cr_assert(query_parameter("/after=1", "after").empty());
}
