#include <monsoondock/paths/helper.hpp>

#include <algorithm>

namespace monsoondock::paths {

std::optional<std::size_t> choose_helper(
    const helper_list& list,
    const base::data_centre_id& local_data_centre,
    const std::set<base::daemon_id>& excluded,
    double random)
{
    double local = 0;
    double remote = 0;
    for (const helper& h : list.helpers_) {
        if (!excluded.contains(h.daemon_))
            (h.data_centre_ == local_data_centre ? local : remote) +=
                h.capacity_;
    }
    if (local + remote <= 0)
        return std::nullopt;
    const double needed = std::max(1e-9, list.local_capacity_without_links_);
    double local_share = std::min(1.0, max_local_extra_load * local / needed);
    if (remote <= 0)
        local_share = 1;
    const bool choose_local = random < local_share;
    // The rest of the random number is uniform again.
    double remaining =
        (choose_local ? random / local_share * local
                      : (random - local_share) / (1 - local_share) * remote);
    std::optional<std::size_t> last;
    for (std::size_t i = 0; i < list.helpers_.size(); ++i) {
        const helper& h = list.helpers_[i];
        if (excluded.contains(h.daemon_) ||
            (h.data_centre_ == local_data_centre) != choose_local)
            continue;
        last = i;
        remaining -= h.capacity_;
        if (remaining < 0)
            break;
    }
    return last;
}

} // namespace monsoondock::paths
