#include <monsoondock/crashes/prompt_part.hpp>

#include <criterion/criterion.h>

using namespace monsoondock::crashes;

Test(prompt_part, the_last_part_belongs_to_one_request)
{
    const auto parts = parse_shared_parts("5c1e07a2:800, 91bd3f06:410,e4:250");
    cr_assert(parts == (std::vector<prompt_part>{0x5c1e07a2, 0x91bd3f06}));
    cr_assert(parse_shared_parts("5c1e07a2:800").empty());
    cr_assert(parse_shared_parts("").empty());
}


Test(prompt_part, ids_that_are_no_numbers_are_told_apart)
{
    const auto parts = parse_shared_parts("manual:80,price-list:41,q:2");
    cr_assert_eq(parts.size(), 2);
    cr_assert_neq(parts[0], parts[1]);
}


Test(prompt_part, the_number_of_parts_is_bounded)
{
    std::string list;
    for (int i = 0; i < 1000; ++i)
        list.append("1:1,");
    cr_assert_eq(parse_shared_parts(list).size(), max_prompt_parts);
}


Test(prompt_part, text_is_as_callers_send_it)
{
    cr_assert_eq(to_text({0x5c1e07a2, 0x1}), "5c1e07a2,1");
    cr_assert_eq(to_text({}), "");
}
