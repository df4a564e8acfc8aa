#include "drain_feed.hpp"

#include "prefix_feed.hpp"

namespace monsoondock::daemon {

namespace {

constexpr std::string_view prefix = "drains/";
constexpr std::string_view host_prefix = "drains/host/";
constexpr std::string_view daemon_prefix = "drains/daemon/";
constexpr std::chrono::milliseconds min_interval{500};


void add(drain_table& drains, const std::string& key)
{
    if (key.starts_with(host_prefix))
        drains.hosts_.insert({key.substr(host_prefix.size())});
    if (key.starts_with(daemon_prefix))
        drains.daemons_.insert({key.substr(daemon_prefix.size())});
}


void remove(drain_table& drains, const std::string& key)
{
    if (key.starts_with(host_prefix))
        drains.hosts_.erase({key.substr(host_prefix.size())});
    if (key.starts_with(daemon_prefix))
        drains.daemons_.erase({key.substr(daemon_prefix.size())});
}

} // namespace

boost::asio::awaitable<void> run_drain_feed(control_state& state)
{
    feed_handlers handlers;
    handlers.on_list_ = [&state](const platform::listing& all) {
        state.drains_ = {};
        for (const platform::object& object : all.objects_)
            add(state.drains_, object.key_);
    };
    handlers.on_change_ = [&state](const platform::change& c) {
        if (c.deleted_)
            remove(state.drains_, c.object_.key_);
        else
            add(state.drains_, c.object_.key_);
    };
    handlers.on_batch_end_ = [&state] {
        state.draining_ = state.stopping_ || state.drains_.daemons_.contains(
                                                 state.config_.daemon_);
        publish_snapshot(state);
    };
    co_await follow_prefix(
        state, std::string(prefix), std::move(handlers), min_interval);
}

} // namespace monsoondock::daemon
