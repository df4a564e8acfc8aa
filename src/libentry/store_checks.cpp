#include "control.hpp"

#include <monsoondock/base/event_line.hpp>

namespace monsoondock::entry::pvt {

namespace asio = boost::asio;

namespace {

// Watches must tell a change well within the time in which it has to be in
// force, so the store is compared with them at this rate.
constexpr std::chrono::milliseconds check_period{700};
// A watch that works tells a change within this time of a list that shows it.
constexpr std::chrono::milliseconds watch_delay{150};


asio::awaitable<void> check_catalog(control& c)
{
    const auto listed = co_await c.store_.list(c.adapter_.catalog_prefix_);
    note_store(c, base::ok(listed));
    if (!base::ok(listed))
        co_return;
    for (const platform::object& o : base::value(listed).objects_) {
        if (o.key_ == c.adapter_.catalog_key_)
            take_catalog(c, o.value_, "check");
    }
}


asio::awaitable<void> check_hosts(control& c)
{
    const auto listed = co_await c.store_.list(c.adapter_.hosts_prefix_);
    note_store(c, base::ok(listed));
    if (!base::ok(listed) || !misses_changes(c, base::value(listed)))
        co_return;
    co_await sleep_for(c, watch_delay);
    if (!misses_changes(c, base::value(listed)))
        co_return;
    base::event_line("watch_deaf", base::severity::warning)
        .field("daemon", c.config_.daemon_);
    broadcast(c, read_again_message{});
    co_await reread_hosts(c);
}

} // namespace

asio::awaitable<void> run_store_checks(control& c)
{
    for (;;) {
        co_await sleep_for(c, check_period);
        if (!c.leader_.leading_ || !c.hosts_.known_)
            continue;
        co_await check_catalog(c);
        co_await check_hosts(c);
    }
}

} // namespace monsoondock::entry::pvt
