#include "upstream_link.hpp"

#include "peek_socket.hpp"

namespace monsoondock::relay::pvt {

bool is_quiet(upstream_link& link)
{
    return link.buffer_.size() == 0 &&
           peek_socket(link.socket_) == socket_content::nothing;
}


std::shared_ptr<upstream_link> link_pool::take(
    const boost::asio::ip::tcp::endpoint& address,
    const std::string& host,
    base::time_point now)
{
    const auto found = idle_.find({address, host});
    if (found == idle_.end())
        return nullptr;
    auto& kept = found->second;
    while (!kept.empty()) {
        auto link = std::move(kept.back());
        kept.pop_back();
        if (link->usable_until_ > now && is_quiet(*link))
            return link;
    }
    return nullptr;
}


void link_pool::give(
    const boost::asio::ip::tcp::endpoint& address,
    const std::string& host,
    std::shared_ptr<upstream_link> link)
{
    auto& kept = idle_[{address, host}];
    if (kept.size() < max_idle)
        kept.push_back(std::move(link));
}


void link_pool::drop_old(base::time_point now)
{
    for (auto& [address, kept] : idle_) {
        std::erase_if(
            kept, [&](const auto& link) { return link->usable_until_ <= now; });
    }
    std::erase_if(
        idle_, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace monsoondock::relay::pvt
