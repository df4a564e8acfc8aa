#include <monsoondock/base/rendezvous.hpp>

#include <criterion/criterion.h>

using monsoondock::base::rendezvous_order;


Test(rendezvous, removing_a_node_remaps_only_its_keys)
{
    const std::vector<std::string> all{"a", "b", "c", "d"};
    const std::vector<std::string> rest{"a", "b", "d"};
    for (int i = 0; i < 500; ++i) {
        const std::string key = "key" + std::to_string(i);
        const std::string& before = all[rendezvous_order(key, all, 1)[0]];
        const std::string& after = rest[rendezvous_order(key, rest, 1)[0]];
        if (before != "c")
            cr_assert(before == after);
    }
}


Test(rendezvous, count_above_the_number_of_nodes_returns_all)
{
    cr_assert(rendezvous_order("k", {"a", "b"}, 5).size() == 2);
    cr_assert(rendezvous_order("k", {}, 5).empty());
}
