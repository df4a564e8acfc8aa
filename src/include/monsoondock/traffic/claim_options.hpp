#pragma once

#include <monsoondock/claims/claim_record.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <vector>

namespace monsoondock::traffic {

/// Identity and platform access with which the traffic threads claim calls that
/// run at most once.
struct claim_options
{
    /// This daemon and its present incarnation (one run of the process).
    claims::claim_owner self_;
    /// Addresses of the platform, tried in turn.
    std::vector<boost::asio::ip::tcp::endpoint> platform_addresses_;
    /// Time-out of each call to the platform.
    std::chrono::milliseconds platform_timeout_{};
};

} // namespace monsoondock::traffic
