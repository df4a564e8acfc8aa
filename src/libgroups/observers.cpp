#include <monsoondock/base/rendezvous.hpp>
#include <monsoondock/groups/observers.hpp>

namespace monsoondock::groups {

namespace {

std::vector<std::string> names_of(const std::vector<base::daemon_id>& daemons)
{
    std::vector<std::string> names;
    names.reserve(daemons.size());
    for (const base::daemon_id& daemon : daemons)
        names.push_back(daemon.value_);
    return names;
}

} // namespace

std::vector<base::daemon_id> observers_of(
    const base::group_id& group, const std::vector<base::daemon_id>& daemons)
{
    std::vector<base::daemon_id> chosen;
    for (const std::size_t i : base::rendezvous_order(
             group.value_, names_of(daemons), OBSERVERS_PER_GROUP))
        chosen.push_back(daemons[i]);
    return chosen;
}


base::daemon_id relay_of(
    const base::daemon_id& requester,
    const base::data_centre_id& data_centre,
    const std::vector<base::daemon_id>& daemons,
    std::size_t attempt)
{
    if (daemons.empty())
        return {};
    const std::size_t rank = attempt % daemons.size();
    const auto order = base::rendezvous_order(
        requester.value_ + "/" + data_centre.value_,
        names_of(daemons),
        rank + 1);
    return daemons[order[rank]];
}

} // namespace monsoondock::groups
