#include <monsoondock/base/rendezvous.hpp>
#include <monsoondock/base/stable_hash.hpp>
#include <monsoondock/quarantine/confinement.hpp>

#include <algorithm>

namespace monsoondock::quarantine {

std::vector<base::group_id> rank_groups(
    const suspect_fingerprint& fingerprint,
    const std::string& prefix,
    std::vector<base::group_id> groups)
{
    std::sort(groups.begin(), groups.end());
    groups.erase(std::unique(groups.begin(), groups.end()), groups.end());
    std::vector<std::string> names;
    names.reserve(groups.size());
    for (const base::group_id& group : groups)
        names.push_back(group.value_);
    std::vector<base::group_id> ranked;
    ranked.reserve(groups.size());
    for (const std::size_t i :
         base::rendezvous_order(fingerprint.value_, names, names.size()))
        ranked.push_back(groups[i]);
    if (prefix.empty() || names.empty())
        return ranked;
    const auto prefix_groups = base::rendezvous_order(
        prefix, names, std::min(PREFIX_GROUPS, names.size()));
    const std::size_t preferred = prefix_groups
        [base::stable_hash(fingerprint.value_) % prefix_groups.size()];
    const auto found =
        std::find(ranked.begin(), ranked.end(), groups[preferred]);
    std::rotate(ranked.begin(), found, found + 1);
    return ranked;
}

} // namespace monsoondock::quarantine
