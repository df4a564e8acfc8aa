#include <monsoondock/routing/fair_queue.hpp>

#include <algorithm>

namespace monsoondock::routing {

fair_queue::fair_queue(queue_shares shares) : shares_(shares) {}


void fair_queue::set_weight(
    const base::workspace_id& workspace, std::uint32_t weight)
{
    weights_[workspace] = std::max(weight, 1U);
}


void fair_queue::push(queue_item item)
{
    band& b = band_of(item.class_);
    flow& f = b.flows_[item.workspace_];
    if (f.items_.empty())
        b.round_.push_back(item.workspace_);
    f.work_ += item.cost_;
    b.work_ += item.cost_;
    ++size_;
    const base::time_point deadline = item.deadline_;
    f.items_.emplace(deadline, std::move(item));
}


std::optional<queue_item> fair_queue::pop(base::time_point now)
{
    if (auto urgent = pop_urgent_report(now))
        return urgent;
    ++pops_;
    const bool turn_of_reports = pops_ % shares_.report_every_ == 0;
    const auto first =
        turn_of_reports ? priority_class::report : priority_class::interactive;
    const auto second =
        turn_of_reports ? priority_class::interactive : priority_class::report;
    if (auto item = pop_band(band_of(first)))
        return item;
    return pop_band(band_of(second));
}


std::vector<queue_item> fair_queue::expire(base::time_point now)
{
    std::vector<queue_item> expired;
    for (band& b : bands_)
        expire_band(b, now, expired);
    return expired;
}


bool fair_queue::remove(const queue_item& item)
{
    band& b = band_of(item.class_);
    const auto found = b.flows_.find(item.workspace_);
    if (found == b.flows_.end())
        return false;
    flow& f = found->second;
    auto [i, end] = f.items_.equal_range(item.deadline_);
    while (i != end && i->second.request_ != item.request_)
        ++i;
    if (i == end)
        return false;
    f.work_ -= i->second.cost_;
    b.work_ -= i->second.cost_;
    --size_;
    f.items_.erase(i);
    drop_if_empty(b, item.workspace_);
    return true;
}


// With deficit round robin a request waits for its own workspace's work and
// for as much of each other workspace, never for more than those have.
std::uint64_t fair_queue::work_ahead(const queue_item& item) const
{
    const band& b = band_of(item.class_);
    const auto found = b.flows_.find(item.workspace_);
    const std::uint64_t own = found == b.flows_.end() ? 0 : found->second.work_;
    const std::uint64_t part = own + item.cost_;
    std::uint64_t ahead = own;
    for (const auto& [workspace, f] : b.flows_)
        if (workspace != item.workspace_)
            ahead += std::min<std::uint64_t>(
                f.work_,
                part * weight_of(workspace) / weight_of(item.workspace_));
    if (item.class_ == priority_class::report)
        ahead += band_of(priority_class::interactive).work_;
    return ahead;
}


std::uint32_t fair_queue::weight_of(const base::workspace_id& workspace) const
{
    const auto found = weights_.find(workspace);
    return found == weights_.end() ? 1 : found->second;
}


fair_queue::band& fair_queue::band_of(priority_class c)
{
    return bands_[static_cast<std::size_t>(c)];
}


const fair_queue::band& fair_queue::band_of(priority_class c) const
{
    return bands_[static_cast<std::size_t>(c)];
}


queue_item fair_queue::take_first(band& b, const base::workspace_id& workspace)
{
    flow& f = b.flows_.at(workspace);
    queue_item item = std::move(f.items_.begin()->second);
    f.items_.erase(f.items_.begin());
    f.work_ -= item.cost_;
    b.work_ -= item.cost_;
    --size_;
    return item;
}


void fair_queue::drop_if_empty(band& b, const base::workspace_id& workspace)
{
    if (!b.flows_.at(workspace).items_.empty())
        return;
    b.flows_.erase(workspace);
    std::erase(b.round_, workspace);
}


std::optional<queue_item> fair_queue::pop_band(band& b)
{
    while (!b.round_.empty()) {
        const base::workspace_id workspace = b.round_.front();
        flow& f = b.flows_.at(workspace);
        const std::uint32_t cost = f.items_.begin()->second.cost_;
        if (f.deficit_ >= cost) {
            f.deficit_ -= cost;
            queue_item item = take_first(b, workspace);
            drop_if_empty(b, workspace);
            return item;
        }
        f.deficit_ += std::uint64_t{shares_.quantum_} * weight_of(workspace);
        b.round_.pop_front();
        b.round_.push_back(workspace);
    }
    return std::nullopt;
}


std::optional<queue_item> fair_queue::pop_urgent_report(base::time_point now)
{
    band& reports = band_of(priority_class::report);
    const base::workspace_id* most_urgent = nullptr;
    base::time_point earliest = now + shares_.urgent_;
    for (const auto& [workspace, f] : reports.flows_) {
        if (f.items_.begin()->first >= earliest)
            continue;
        earliest = f.items_.begin()->first;
        most_urgent = &workspace;
    }
    if (!most_urgent || pops_ % 2 == 1)
        return std::nullopt;
    // Every other pop at most, so that reports can't shut out people.
    ++pops_;
    const base::workspace_id workspace = *most_urgent;
    queue_item item = take_first(reports, workspace);
    drop_if_empty(reports, workspace);
    return item;
}


void fair_queue::expire_band(
    band& b, base::time_point now, std::vector<queue_item>& out)
{
    std::vector<base::workspace_id> workspaces(
        b.round_.begin(), b.round_.end());
    for (const base::workspace_id& workspace : workspaces) {
        flow& f = b.flows_.at(workspace);
        while (!f.items_.empty() && f.items_.begin()->first <= now)
            out.push_back(take_first(b, workspace));
        drop_if_empty(b, workspace);
    }
}

} // namespace monsoondock::routing
