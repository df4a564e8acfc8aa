#include "upstream_pool.hpp"

namespace monsoondock::traffic::pvt {

std::unique_ptr<upstream_connection> upstream_pool::take(const pool_key& key)
{
    drop_older(key);
    const auto found = idle_.find(key);
    if (found == idle_.end() || found->second.empty())
        return nullptr;
    auto c = std::move(found->second.back());
    found->second.pop_back();
    return c;
}


void upstream_pool::give(
    const pool_key& key, std::unique_ptr<upstream_connection> c)
{
    auto& kept = idle_[key];
    if (kept.size() >= max_idle)
        return;
    c->stream_.expires_never();
    c->reused_ = true;
    kept.push_back(std::move(c));
}


void upstream_pool::drop_older(const pool_key& key)
{
    const auto first = idle_.lower_bound({key.address_, {}});
    idle_.erase(first, idle_.lower_bound(key));
}

} // namespace monsoondock::traffic::pvt
