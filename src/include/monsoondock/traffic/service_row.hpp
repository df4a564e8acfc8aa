#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/traffic/upstream_load.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace monsoondock::traffic {

/// One host of a plain service.
struct service_host
{
    base::host_id host_;
    base::data_centre_id data_centre_;
    boost::asio::ip::tcp::endpoint address_;
    std::shared_ptr<upstream_load> load_;
};


/// Routing entry of a plain service, with the hosts that accept new requests.
struct service_row
{
    base::deployment_id deployment_;
    /// When false, a call runs at most once and needs an Idempotency-Key.
    bool idempotent_ = true;
    /// Largest response body of a non-idempotent call that is stored for
    /// replay, in bytes.
    std::uint64_t max_kept_body_bytes_ = 0;
    std::vector<service_host> hosts_;
};

} // namespace monsoondock::traffic
