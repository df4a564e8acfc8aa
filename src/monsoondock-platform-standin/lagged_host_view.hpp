#pragma once

#include <monsoondock/platform/change.hpp>
#include <monsoondock/platform/listing.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <string>

namespace monsoondock::platform_standin {

/// View of the objects under hosts/ that follows the store with a lag.
class host_list
{
public:
    using time_point = std::chrono::steady_clock::time_point;


    /// Records a change of the store at now.
    void record(platform::change c, time_point now);


    /// Shows the changes that are at least lag old.
    void advance(time_point now, std::chrono::milliseconds lag);


    /// Returns the latest version shown, given the store's present one.
    platform::version shown(platform::version current) const;


    /// Returns the hosts shown whose keys begin with prefix.
    platform::listing
    list(std::string_view prefix, platform::version current) const;


    /// Takes the changes that are not shown yet out of batch.
    void hide_later(platform::change_batch& batch) const;

private:
    struct pending
    {
        platform::change change_;
        time_point at_;
    };

    std::deque<pending> pending_;
    std::map<std::string, platform::object> shown_;
};


/// Tells whether keys with this prefix are hosts.
bool is_host_prefix(std::string_view prefix);

} // namespace monsoondock::platform_standin
