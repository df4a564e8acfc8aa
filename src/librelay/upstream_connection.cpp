#include "upstream_connection.hpp"

namespace monsoondock::relay::pvt {

bool is_reusable(upstream_connection& connection)
{
    return connection.buffer_.size() == 0 &&
           connection.socket_.peek() == socket_content::nothing;
}


std::shared_ptr<upstream_connection> connection_pool::acquire(
    const boost::asio::ip::tcp::endpoint& address,
    const std::string& host,
    base::time_point now)
{
    const auto found = idle_.find({address, host});
    if (found == idle_.end())
        return nullptr;
    auto& connections = found->second;
    while (!connections.empty()) {
        auto connection = std::move(connections.back());
        connections.pop_back();
        if (connection->usable_until_ > now && is_reusable(*connection))
            return connection;
    }
    return nullptr;
}


void connection_pool::put(
    const boost::asio::ip::tcp::endpoint& address,
    const std::string& host,
    std::shared_ptr<upstream_connection> connection)
{
    auto& connections = idle_[{address, host}];
    if (connections.size() < max_idle_per_host)
        connections.push_back(std::move(connection));
}


void connection_pool::close_expired(base::time_point now)
{
    for (auto& [address, connections] : idle_) {
        std::erase_if(connections, [&](const auto& connection) {
            return connection->usable_until_ <= now ||
                   !is_reusable(*connection);
        });
    }
    std::erase_if(
        idle_, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace monsoondock::relay::pvt
