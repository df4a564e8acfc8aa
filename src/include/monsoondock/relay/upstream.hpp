#pragma once

#include <monsoondock/base/identifier.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <vector>

namespace monsoondock::relay {

/// A host that may take requests now: the head of a whole group, or the host
/// of a plain service.
struct upstream
{
    base::host_id host_;
    boost::asio::ip::tcp::endpoint address_;
    base::data_centre_id data_centre_;
    /// Requests that it runs at once.
    unsigned slots_ = 1;
    /// Model of the group; empty for a plain service.
    std::string model_;
    /// Factor on the group's times.
    double pace_ = 1.0;
    /// Text that names the group and its formation, for logs.
    std::string group_;
};

} // namespace monsoondock::relay
