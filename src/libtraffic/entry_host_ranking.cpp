#include "entry_host_ranking.hpp"

#include <monsoondock/base/rendezvous.hpp>

namespace monsoondock::traffic::pvt {

std::vector<std::string> rank_entry_hosts(
    const base::workspace_id& workspace,
    const std::vector<entry_host_row>& rows,
    std::size_t count)
{
    constexpr entry_distance distances[] = {
        entry_distance::same_data_centre,
        entry_distance::same_region,
        entry_distance::other_region};
    std::vector<std::string> ranked;
    for (const entry_distance distance : distances) {
        std::vector<std::string> candidates;
        for (const entry_host_row& row : rows) {
            if (row.distance_ == distance)
                candidates.push_back(row.address_);
        }
        const std::size_t wanted = count - ranked.size();
        for (const std::size_t i :
             base::rendezvous_order(workspace.value_, candidates, wanted))
            ranked.push_back(candidates[i]);
    }
    return ranked;
}

} // namespace monsoondock::traffic::pvt
