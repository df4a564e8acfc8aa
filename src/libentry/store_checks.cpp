#include "control_plane.hpp"
#include "evacuation_watch.hpp"

#include <monsoondock/base/event_line.hpp>

namespace monsoondock::entry::pvt {

namespace asio = boost::asio;

namespace {

// Short compared with the time within which a change must be in force, so that
// a change that a watch missed is still applied in time.
constexpr std::chrono::milliseconds check_period{700};
// A working watch delivers a change within this time after a list shows it.
constexpr std::chrono::milliseconds watch_latency_limit{150};


asio::awaitable<void> check_catalog(control_plane& c)
{
    const auto listed = co_await c.store_.list(c.adapter_.catalog_prefix_);
    record_store_result(c, base::ok(listed));
    if (!base::ok(listed))
        co_return;
    for (const platform::object& o : base::value(listed).objects_) {
        if (o.key_ == c.adapter_.catalog_key_)
            apply_catalog(c, o.value_, o.version_.era_, "check");
    }
}


asio::awaitable<void> check_hosts(control_plane& c)
{
    const auto listed = co_await c.store_.list(c.adapter_.hosts_prefix_);
    record_store_result(c, base::ok(listed));
    if (!base::ok(listed) || !shows_missed_changes(c, base::value(listed)))
        co_return;
    co_await sleep_for(c, watch_latency_limit);
    if (!shows_missed_changes(c, base::value(listed)))
        co_return;
    base::event_line("watch_missed_changes", base::severity::warning)
        .field("daemon", c.config_.daemon_);
    broadcast(c, relist_hosts_message{});
    co_await relist_hosts(c);
}

} // namespace

asio::awaitable<void> run_store_checks(control_plane& c)
{
    for (;;) {
        co_await sleep_for(c, check_period);
        if (!c.leader_.leading_ || !c.hosts_.loaded_)
            continue;
        co_await check_catalog(c);
        co_await check_evacuations(c);
        co_await check_hosts(c);
    }
}

} // namespace monsoondock::entry::pvt
