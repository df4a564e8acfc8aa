#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/generation.hpp>
#include <monsoondock/base/identifier.hpp>
#include <monsoondock/traffic/upstream_load.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace monsoondock::traffic {

/// Routing entry of one replica group: the hosts that together run one replica
/// of a model.
struct group_row
{
    base::group_id group_;
    base::deployment_id deployment_;
    base::data_centre_id data_centre_;
    /// Fencing token sent with every request; the engine refuses an old one.
    base::generation generation_;
    /// Address of the group's head host, which receives its requests.
    boost::asio::ip::tcp::endpoint head_;
    /// Time until which every host is known to be alive in this generation.
    /// No request may be sent at or after it.
    base::time_point fresh_until_{};
    std::shared_ptr<upstream_load> load_;
};


/// Returns true when a request may be sent to the group at now.
inline bool may_dispatch(const group_row& row, base::time_point now)
{
    return now < row.fresh_until_ && !row.load_->suspect_.load();
}

} // namespace monsoondock::traffic
