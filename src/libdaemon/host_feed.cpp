#include "host_feed.hpp"

#include "prefix_feed.hpp"

#include <monsoondock/base/event_line.hpp>

namespace monsoondock::daemon {

namespace {

constexpr std::string_view prefix = "hosts/";
constexpr std::chrono::milliseconds min_interval{500};


void apply_host_object(control_state& state, const platform::object& object)
{
    const base::host_id id{object.key_.substr(prefix.size())};
    auto parsed = parse_host_record(id, object.value_);
    if (!base::ok(parsed)) {
        base::event_line("host_record_invalid", base::severity::warning)
            .field("reason", base::to_string(base::error(parsed)));
        return;
    }
    state.hosts_[id] = base::value(std::move(parsed));
}

} // namespace

boost::asio::awaitable<void> run_host_feed(control_state& state)
{
    feed_handlers handlers;
    handlers.on_list_ = [&state](const platform::listing& all) {
        state.hosts_.clear();
        for (const platform::object& object : all.objects_)
            apply_host_object(state, object);
        state.hosts_known_ = true;
    };
    handlers.on_change_ = [&state](const platform::change& c) {
        if (c.deleted_)
            state.hosts_.erase({c.object_.key_.substr(prefix.size())});
        else
            apply_host_object(state, c.object_);
    };
    handlers.on_batch_end_ = [&state] {
        publish_snapshot(state);
    };
    co_await follow_prefix(
        state, std::string(prefix), std::move(handlers), min_interval);
}

} // namespace monsoondock::daemon
