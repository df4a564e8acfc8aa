#include "entry_host_ranking.hpp"

#include <criterion/criterion.h>

#include <set>

using namespace monsoondock::traffic;
using monsoondock::traffic::pvt::rank_entry_hosts;

namespace {

std::vector<entry_host_row> make_rows()
{
    std::vector<entry_host_row> rows;
    for (int i = 0; i < 30; ++i)
        rows.push_back({std::to_string(i), static_cast<entry_distance>(i % 3)});
    return rows;
}

} // namespace


Test(entry_host_ranking, orders_by_distance_and_limits_the_count)
{
    const auto rows = make_rows();
    const auto ranked = rank_entry_hosts({"sheds"}, rows, 15);
    cr_assert(ranked.size() == 15);
    for (std::size_t i = 0; i < ranked.size(); ++i)
        cr_assert(std::stoul(ranked[i]) % 3 == (i < 10 ? 0 : 1));
    cr_assert(rank_entry_hosts({"sheds"}, rows, 100).size() == 30);
    cr_assert(rank_entry_hosts({"sheds"}, {}, 8).empty());
}


Test(
    entry_host_ranking, spreads_workspaces_and_removal_moves_only_affected_ones)
{
    const auto rows = make_rows();
    auto fewer = rows;
    fewer.erase(fewer.begin());
    std::set<std::string> first_choices;
    for (int i = 0; i < 100; ++i) {
        const monsoondock::base::workspace_id workspace{std::to_string(i)};
        const auto before = rank_entry_hosts(workspace, rows, 1)[0];
        const auto after = rank_entry_hosts(workspace, fewer, 1)[0];
        first_choices.insert(before);
        if (before != rows[0].address_)
            cr_assert(before == after);
    }
    cr_assert(first_choices.size() == 10);
}
