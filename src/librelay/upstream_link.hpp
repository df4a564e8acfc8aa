#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/silence_bounds.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <map>
#include <memory>
#include <vector>

namespace monsoondock::relay::pvt {

/// Connections of callers and to upstreams that are silent for longer count as
/// lost.
inline constexpr base::silence_bounds connection_bounds{
    std::chrono::seconds(2),
    std::chrono::seconds(1),
    3,
    std::chrono::milliseconds(3000)};


/// One connection to an upstream. It carries one exchange at a time and is
/// kept only after a whole answer.
struct upstream_link
{
    explicit upstream_link(const boost::asio::any_io_executor& executor)
        : socket_(executor)
    {}

    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    /// The upstream may close it from this time on.
    base::time_point usable_until_;
};


/// Returns true when nothing came on an idle connection and the upstream has
/// not closed it: what comes unasked belongs to no request of ours.
bool is_quiet(upstream_link& link);


/// Idle connections by address and host; the host is part of the key, since
/// another one may get the address of a host that is gone.
class link_pool
{
public:
    /// Takes an idle connection, or returns null.
    std::shared_ptr<upstream_link> take(
        const boost::asio::ip::tcp::endpoint& address,
        const std::string& host,
        base::time_point now);


    /// Keeps a connection whose exchange ended with a whole answer.
    void give(
        const boost::asio::ip::tcp::endpoint& address,
        const std::string& host,
        std::shared_ptr<upstream_link> link);


    /// Closes connections that the upstream may have closed.
    void drop_old(base::time_point now);

private:
    /// Idle connections kept for one host.
    static constexpr std::size_t max_idle = 16;

    using key = std::pair<boost::asio::ip::tcp::endpoint, std::string>;

    std::map<key, std::vector<std::shared_ptr<upstream_link>>> idle_;
};

} // namespace monsoondock::relay::pvt
