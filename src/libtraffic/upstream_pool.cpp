#include "upstream_pool.hpp"

namespace monsoondock::traffic::pvt {

std::unique_ptr<upstream_connection> upstream_pool::take(const pool_key& key)
{
    close_older_generations(key);
    auto& idle = idle_[key];
    while (!idle.empty()) {
        auto c = std::move(idle.back());
        idle.pop_back();
        if (is_reusable(*c))
            return c;
    }
    return nullptr;
}


void upstream_pool::put(
    const pool_key& key, std::unique_ptr<upstream_connection> c)
{
    auto& idle = idle_[key];
    if (idle.size() >= max_idle_per_key)
        return;
    c->stream_.expires_never();
    c->reused_ = true;
    idle.push_back(std::move(c));
}


void upstream_pool::close_older_generations(const pool_key& key)
{
    const auto first = idle_.lower_bound({key.address_, {}});
    idle_.erase(first, idle_.lower_bound(key));
}

} // namespace monsoondock::traffic::pvt
