#include "host_list.hpp"

namespace monsoondock::platform_standin {

void host_list::record(platform::change c, time_point now)
{
    if (is_host_prefix(c.object_.key_))
        pending_.push_back({std::move(c), now});
}


void host_list::advance(time_point now, std::chrono::milliseconds lag)
{
    while (!pending_.empty() && pending_.front().at_ + lag <= now) {
        const platform::change& c = pending_.front().change_;
        if (c.deleted_)
            shown_.erase(c.object_.key_);
        else
            shown_[c.object_.key_] = c.object_;
        pending_.pop_front();
    }
}


platform::version host_list::shown(platform::version current) const
{
    if (pending_.empty())
        return current;
    return {pending_.front().change_.object_.version_.value_ - 1};
}


platform::listing
host_list::list(std::string_view prefix, platform::version current) const
{
    platform::listing result{shown(current), {}};
    for (const auto& [key, object] : shown_) {
        if (key.starts_with(prefix))
            result.objects_.push_back(object);
    }
    return result;
}


void host_list::hide_later(platform::change_batch& batch) const
{
    batch.next_ = shown(batch.next_);
    std::erase_if(batch.changes_, [&](const platform::change& c) {
        return c.object_.version_ > batch.next_;
    });
}


bool is_host_prefix(std::string_view prefix)
{
    return prefix.starts_with("hosts/");
}

} // namespace monsoondock::platform_standin
