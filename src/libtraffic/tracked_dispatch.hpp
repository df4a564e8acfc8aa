#pragma once

#include "traffic_thread.hpp"

#include <monsoondock/traffic/group_row.hpp>
#include <monsoondock/traffic/shared_suspect_registry.hpp>

#include <boost/asio/awaitable.hpp>

namespace monsoondock::traffic::pvt {

/// Reports one dispatch of a completion to the quarantine. Reports it as
/// abandoned when destroyed before its end was reported.
class tracked_dispatch
{
public:
    tracked_dispatch(
        shared_suspect_registry& registry, base::request_id request);
    tracked_dispatch(const tracked_dispatch&) = delete;
    tracked_dispatch& operator=(const tracked_dispatch&) = delete;
    ~tracked_dispatch();


    /// Requests permission to dispatch and waits for the decision.
    boost::asio::awaitable<dispatch_decision>
    ask(quarantine::dispatch_query question);


    /// Reports the group to which the request is about to be sent.
    void dispatched(const group_row& group);


    /// Counts tokens received. After enough of them a suspect is taken to be
    /// past the point where its group was lost, and is cleared.
    void add_tokens(std::uint64_t tokens);


    /// Reports that the complete response was received.
    void completed();


    /// Handles an interrupted exchange: probes the group and, if it is lost,
    /// reports that, which makes every request in flight there a suspect.
    /// Returns true when the group is alive.
    boost::asio::awaitable<bool>
    exchange_failed(const group_row& group, std::chrono::milliseconds bound);

    /// Returns the id of this dispatch in the registry.
    const base::request_id& request() const noexcept
    {
        return request_;
    }

private:
    shared_suspect_registry& registry_;
    base::request_id request_;
    bool outstanding_ = false;
    std::uint64_t tokens_ = 0;
};

} // namespace monsoondock::traffic::pvt
