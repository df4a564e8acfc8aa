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

/// How a fair_queue shares capacity.
struct queue_shares
{
    /// Work that a workspace may take in one round, in tokens.
    std::uint32_t quantum_ = 64;
    /// One pop in so many goes to reports even when interactive ones wait.
    unsigned report_every_ = 10;
    /// A report that is closer to its deadline counts as interactive.
    std::chrono::milliseconds urgent_{30000};
};


/// Queue of one deployment at one daemon. Interactive requests go before
/// reports, workspaces of one class share by deficit round robin, and within a
/// workspace the earliest deadline goes first.
class fair_queue
{
public:
    explicit fair_queue(queue_shares shares = {});


    /// Sets the weight of a workspace in its class; 1 without this call.
    void set_weight(const base::workspace_id& workspace, std::uint32_t weight);


    /// Adds a request.
    void push(queue_item item);


    /// Takes the next request whose deadline has not passed, or nothing.
    std::optional<queue_item> pop(base::time_point now);


    /// Takes out every request whose deadline has passed. Answer them at once.
    std::vector<queue_item> expire(base::time_point now);


    /// Takes out one request, because its caller left. Returns false when it
    /// is not queued.
    bool remove(const queue_item& item);


    /// Returns the number of requests.
    std::size_t size() const noexcept
    {
        return size_;
    }


    /// Returns the work that is likely to be done before a request with this
    /// workspace and class, in tokens.
    std::uint64_t work_ahead(const queue_item& item) const;

private:
    struct flow
    {
        std::multimap<base::time_point, queue_item> items_;
        std::uint64_t work_ = 0;
        std::uint64_t deficit_ = 0;
    };

    // The workspaces of one class.
    struct band
    {
        std::map<base::workspace_id, flow> flows_;
        std::deque<base::workspace_id> round_;
        std::uint64_t work_ = 0;
    };

    std::uint32_t weight_of(const base::workspace_id& workspace) const;
    band& band_of(priority_class c);
    const band& band_of(priority_class c) const;
    queue_item take_first(band& b, const base::workspace_id& workspace);
    void drop_if_empty(band& b, const base::workspace_id& workspace);
    std::optional<queue_item> pop_band(band& b);
    std::optional<queue_item> pop_urgent_report(base::time_point now);
    void
    expire_band(band& b, base::time_point now, std::vector<queue_item>& out);

    queue_shares shares_;
    std::map<base::workspace_id, std::uint32_t> weights_;
    std::array<band, 2> bands_;
    std::size_t size_ = 0;
    unsigned pops_ = 0;
};

} // namespace monsoondock::routing
