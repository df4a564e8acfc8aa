#include "lagged_host_view.hpp"

namespace monsoondock::platform_standin {

void lagged_host_view::record(platform::change c, time_point now)
{
    if (is_host_prefix(c.object_.key_))
        pending_.push_back({std::move(c), now});
}


void lagged_host_view::advance(time_point now, std::chrono::milliseconds lag)
{
    while (!pending_.empty() && pending_.front().written_at_ + lag <= now) {
        const platform::change& c = pending_.front().change_;
        if (c.deleted_)
            visible_.erase(c.object_.key_);
        else
            visible_[c.object_.key_] = c.object_;
        pending_.pop_front();
    }
}


platform::version
lagged_host_view::visible_version(platform::version current) const
{
    if (pending_.empty())
        return current;
    return {pending_.front().change_.object_.version_.value_ - 1};
}


platform::listing
lagged_host_view::list(std::string_view prefix, platform::version current) const
{
    platform::listing result{visible_version(current), {}};
    for (const auto& [key, object] : visible_) {
        if (key.starts_with(prefix))
            result.objects_.push_back(object);
    }
    return result;
}


void lagged_host_view::remove_pending(platform::change_batch& batch) const
{
    batch.next_ = visible_version(batch.next_);
    std::erase_if(batch.changes_, [&](const platform::change& c) {
        return c.object_.version_ > batch.next_;
    });
}


bool is_host_prefix(std::string_view prefix)
{
    return prefix.starts_with("hosts/");
}

} // namespace monsoondock::platform_standin
