#pragma once

#include <monsoondock/platform/change.hpp>
#include <monsoondock/platform/listing.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <string>

namespace monsoondock::platform_standin {

/// Delayed view of the objects under hosts/: a change becomes visible some time
/// after it was written to the store.
class lagged_host_view
{
public:
    using time_point = std::chrono::steady_clock::time_point;


    /// Records a change that was written to the store at now. Changes of other
    /// objects than hosts are ignored.
    void record(platform::change c, time_point now);


    /// Makes the changes that are at least lag old visible.
    void advance(time_point now, std::chrono::milliseconds lag);


    /// Returns the latest visible version, given the current one of the store.
    platform::version visible_version(platform::version current) const;


    /// Returns the visible hosts whose keys begin with prefix.
    platform::listing
    list(std::string_view prefix, platform::version current) const;


    /// Removes the changes that are not visible yet from batch and lowers its
    /// next version to the latest visible one.
    void remove_pending(platform::change_batch& batch) const;

private:
    struct pending_change
    {
        platform::change change_;
        time_point written_at_;
    };

    /// Changes that are not visible yet, oldest first.
    std::deque<pending_change> pending_;
    std::map<std::string, platform::object> visible_;
};


/// Returns whether all keys with this prefix are hosts.
bool is_host_prefix(std::string_view prefix);

} // namespace monsoondock::platform_standin
