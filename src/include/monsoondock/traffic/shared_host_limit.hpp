#pragma once

#include <monsoondock/hostlimits/host_limit.hpp>

#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

namespace monsoondock::traffic {

/// What an upstream has said of its limit.
struct limit_statement
{
    /// Requests a second of all daemons; 0 when the limit has ended.
    double per_second_ = 0;
    base::time_point stated_at_;
};


/// Thread-safe limit of the requests that an upstream accepts, and the pause
/// that it has asked this daemon for.
class shared_host_limit
{
public:
    /// Records what the upstream has said, unless something later is known. The
    /// share of this daemon is set by update_share, and 0 before.
    void state(const limit_statement& statement);


    /// Same for a response of the upstream that names a limit, or none if the
    /// text is empty. Text that is no limit is ignored; returns false then.
    bool state_response(std::string_view limit, base::time_point now);


    /// Records that the upstream wants no requests of this daemon before a
    /// time.
    void pause_until(base::time_point time);


    /// Divides the limit among this daemon and the others.
    void update_share(
        const base::host_id& upstream,
        const base::daemon_id& self,
        const std::vector<base::daemon_id>& others,
        base::time_point now);


    /// Returns true when this daemon may send the upstream a request.
    bool may_send(base::time_point now) const;


    /// Records that this daemon sends the upstream a request.
    void record_send(base::time_point now);


    /// Returns what the upstream said last, unless that is forgotten.
    std::optional<limit_statement> statement(base::time_point now) const;

private:
    mutable std::mutex mutex_;
    hostlimits::host_limit limit_;
    base::time_point paused_until_;
};

} // namespace monsoondock::traffic
