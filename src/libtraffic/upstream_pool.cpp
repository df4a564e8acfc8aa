#include "upstream_pool.hpp"

namespace monsoondock::traffic::pvt {

std::unique_ptr<upstream_connection> upstream_pool::take(const pool_key& key)
{
    drop_older(key);
    auto& kept = idle_[key];
    while (!kept.empty()) {
        auto c = std::move(kept.back());
        kept.pop_back();
        if (is_quiet(*c))
            return c;
    }
    return nullptr;
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
