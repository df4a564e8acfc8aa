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
    class_queue& q = queue_of(item.class_);
    flow& f = q.flows_[item.workspace_];
    if (f.items_.empty())
        q.active_workspaces_.push_back(item.workspace_);
    f.queued_cost_ += item.cost_;
    q.queued_cost_ += item.cost_;
    ++size_;
    const base::time_point deadline = item.deadline_;
    f.items_.emplace(deadline, std::move(item));
}


std::optional<queue_item> fair_queue::pop(base::time_point now)
{
    if (auto urgent = pop_urgent_report(now))
        return urgent;
    ++pops_;
    const bool reports_first = pops_ % shares_.report_every_ == 0;
    const auto first =
        reports_first ? priority_class::report : priority_class::interactive;
    const auto second =
        reports_first ? priority_class::interactive : priority_class::report;
    if (auto item = pop_class(queue_of(first)))
        return item;
    return pop_class(queue_of(second));
}


std::vector<queue_item> fair_queue::expire(base::time_point now)
{
    std::vector<queue_item> expired;
    for (class_queue& q : class_queues_)
        expire_class(q, now, expired);
    return expired;
}


bool fair_queue::remove(const queue_item& item)
{
    class_queue& q = queue_of(item.class_);
    const auto found = q.flows_.find(item.workspace_);
    if (found == q.flows_.end())
        return false;
    flow& f = found->second;
    auto [i, end] = f.items_.equal_range(item.deadline_);
    while (i != end && i->second.request_ != item.request_)
        ++i;
    if (i == end)
        return false;
    f.queued_cost_ -= i->second.cost_;
    q.queued_cost_ -= i->second.cost_;
    --size_;
    f.items_.erase(i);
    remove_flow_if_empty(q, item.workspace_);
    return true;
}


// With deficit round robin a request waits for the queued work of its own
// workspace and, in proportion to the weights, for as much work of each other
// workspace, up to what that workspace has queued.
std::uint64_t fair_queue::work_ahead(const queue_item& item) const
{
    const class_queue& q = queue_of(item.class_);
    const auto found = q.flows_.find(item.workspace_);
    const std::uint64_t own =
        found == q.flows_.end() ? 0 : found->second.queued_cost_;
    const std::uint64_t own_total = own + item.cost_;
    std::uint64_t ahead = own;
    for (const auto& [workspace, f] : q.flows_)
        if (workspace != item.workspace_)
            ahead += std::min<std::uint64_t>(
                f.queued_cost_,
                own_total * weight_of(workspace) / weight_of(item.workspace_));
    if (item.class_ == priority_class::report)
        ahead += queue_of(priority_class::interactive).queued_cost_;
    return ahead;
}


std::uint32_t fair_queue::weight_of(const base::workspace_id& workspace) const
{
    const auto found = weights_.find(workspace);
    return found == weights_.end() ? 1 : found->second;
}


fair_queue::class_queue& fair_queue::queue_of(priority_class c)
{
    return class_queues_[static_cast<std::size_t>(c)];
}


const fair_queue::class_queue& fair_queue::queue_of(priority_class c) const
{
    return class_queues_[static_cast<std::size_t>(c)];
}


queue_item
fair_queue::take_first(class_queue& q, const base::workspace_id& workspace)
{
    flow& f = q.flows_.at(workspace);
    queue_item item = std::move(f.items_.begin()->second);
    f.items_.erase(f.items_.begin());
    f.queued_cost_ -= item.cost_;
    q.queued_cost_ -= item.cost_;
    --size_;
    return item;
}


void fair_queue::remove_flow_if_empty(
    class_queue& q, const base::workspace_id& workspace)
{
    if (!q.flows_.at(workspace).items_.empty())
        return;
    q.flows_.erase(workspace);
    std::erase(q.active_workspaces_, workspace);
}


std::optional<queue_item> fair_queue::pop_class(class_queue& q)
{
    while (!q.active_workspaces_.empty()) {
        const base::workspace_id workspace = q.active_workspaces_.front();
        flow& f = q.flows_.at(workspace);
        const std::uint32_t cost = f.items_.begin()->second.cost_;
        if (f.deficit_ >= cost) {
            f.deficit_ -= cost;
            queue_item item = take_first(q, workspace);
            remove_flow_if_empty(q, workspace);
            return item;
        }
        f.deficit_ += std::uint64_t{shares_.quantum_} * weight_of(workspace);
        q.active_workspaces_.pop_front();
        q.active_workspaces_.push_back(workspace);
    }
    return std::nullopt;
}


std::optional<queue_item> fair_queue::pop_urgent_report(base::time_point now)
{
    class_queue& reports = queue_of(priority_class::report);
    const base::workspace_id* most_urgent = nullptr;
    base::time_point earliest = now + shares_.urgent_threshold_;
    for (const auto& [workspace, f] : reports.flows_) {
        if (f.items_.begin()->first >= earliest)
            continue;
        earliest = f.items_.begin()->first;
        most_urgent = &workspace;
    }
    if (!most_urgent || pops_ % 2 == 1)
        return std::nullopt;
    // At most every other pop, so that reports cannot starve interactive
    // requests.
    ++pops_;
    const base::workspace_id workspace = *most_urgent;
    queue_item item = take_first(reports, workspace);
    remove_flow_if_empty(reports, workspace);
    return item;
}


void fair_queue::expire_class(
    class_queue& q, base::time_point now, std::vector<queue_item>& expired)
{
    std::vector<base::workspace_id> workspaces(
        q.active_workspaces_.begin(), q.active_workspaces_.end());
    for (const base::workspace_id& workspace : workspaces) {
        flow& f = q.flows_.at(workspace);
        while (!f.items_.empty() && f.items_.begin()->first <= now)
            expired.push_back(take_first(q, workspace));
        remove_flow_if_empty(q, workspace);
    }
}

} // namespace monsoondock::routing
