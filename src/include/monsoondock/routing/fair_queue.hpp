#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/identifier.hpp>
#include <monsoondock/routing/queue_item.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace monsoondock::routing {

/// Parameters by which a fair_queue shares capacity.
struct queue_shares
{
    /// Deficit round robin quantum: work that a workspace of weight 1 may take
    /// in one round, in tokens.
    std::uint32_t quantum_ = 64;
    /// Every n-th pop prefers reports, even when interactive requests wait.
    unsigned report_every_ = 10;
    /// Reports with less time than this to their deadline are urgent; every
    /// other pop may take one.
    std::chrono::milliseconds urgent_threshold_{30000};
};


/// Request queue of one deployment at one daemon. Interactive requests take
/// precedence over reports. Within a class, capacity is shared between
/// workspaces by weighted deficit round robin; within a workspace, the earliest
/// deadline goes first.
class fair_queue
{
public:
    explicit fair_queue(queue_shares shares = {});


    /// Sets the weight of a workspace in both classes. The default is 1.
    void set_weight(const base::workspace_id& workspace, std::uint32_t weight);


    /// Adds a request to the queue.
    void push(queue_item item);


    /// Removes and returns the next request, or nothing when the queue is
    /// empty. Call expire first to leave out requests whose deadline has
    /// passed.
    std::optional<queue_item> pop(base::time_point now);


    /// Removes and returns all requests whose deadline has passed, so that the
    /// caller can answer them immediately.
    std::vector<queue_item> expire(base::time_point now);


    /// Removes a request whose caller disconnected. Returns false when it is
    /// not queued.
    bool remove(const queue_item& item);


    /// Returns the number of queued requests.
    std::size_t size() const noexcept
    {
        return size_;
    }


    /// Estimates the work, in tokens, that is done before a request of this
    /// workspace and class would start.
    std::uint64_t work_ahead(const queue_item& item) const;

private:
    // Queued requests of one workspace, ordered by deadline.
    struct flow
    {
        std::multimap<base::time_point, queue_item> items_;
        std::uint64_t queued_cost_ = 0;
        std::uint64_t deficit_ = 0;
    };

    // Queued requests of one class, by workspace.
    struct class_queue
    {
        std::map<base::workspace_id, flow> flows_;
        std::deque<base::workspace_id> active_workspaces_;
        std::uint64_t queued_cost_ = 0;
    };

    std::uint32_t weight_of(const base::workspace_id& workspace) const;
    class_queue& queue_of(priority_class c);
    const class_queue& queue_of(priority_class c) const;
    queue_item take_first(class_queue& q, const base::workspace_id& workspace);
    void
    remove_flow_if_empty(class_queue& q, const base::workspace_id& workspace);
    std::optional<queue_item> pop_class(class_queue& q);
    std::optional<queue_item> pop_urgent_report(base::time_point now);
    void expire_class(
        class_queue& q, base::time_point now, std::vector<queue_item>& expired);

    queue_shares shares_;
    std::map<base::workspace_id, std::uint32_t> weights_;
    std::array<class_queue, 2> class_queues_;
    std::size_t size_ = 0;
    unsigned pops_ = 0;
};

} // namespace monsoondock::routing
