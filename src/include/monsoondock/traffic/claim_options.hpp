#pragma once

#include <monsoondock/claims/claim_record.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <vector>

namespace monsoondock::traffic {

/// What the traffic threads need to claim calls that run at most once.
struct claim_options
{
    /// This life of this daemon.
    claims::claim_owner self_;
    /// Addresses of the platform, tried in turn.
    std::vector<boost::asio::ip::tcp::endpoint> platform_addresses_;
    /// Bound of each call to the platform.
    std::chrono::milliseconds platform_timeout_{};
};

} // namespace monsoondock::traffic
