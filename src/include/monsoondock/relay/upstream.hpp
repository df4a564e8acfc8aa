#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/identifier.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace monsoondock::relay {

/// Host that can accept requests: the head of a complete replica group, or a
/// host of a service that has no groups.
struct upstream
{
    base::host_id host_;
    boost::asio::ip::tcp::endpoint address_;
    base::data_centre_id data_centre_;
    /// Number of requests that it runs concurrently.
    unsigned slots_ = 1;
    /// Model of the group; empty for a service that has no models.
    std::string model_;
    /// Factor by which the group's processing times differ from the figures of
    /// the engine.
    double time_factor_ = 1.0;
    /// Start of the host's process in milliseconds since 1970; 0 when unknown.
    std::int64_t process_start_ms_ = 0;
    /// Until this time the host is cold; unset when it has not been lately.
    base::time_point cold_until_;
    /// Requests a second that it accepts from all daemons together while it is
    /// cold; 0 for no limit.
    double cold_requests_per_second_ = 0;
    /// Identifies the group and its formation in logs.
    std::string group_;
};

} // namespace monsoondock::relay
