#include "group_control.hpp"

#include "group_leader.hpp"
#include "group_probes.hpp"
#include "group_rows.hpp"
#include "group_verdicts.hpp"
#include "prefix_feed.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace monsoondock::daemon {

namespace asio = boost::asio;

namespace {

constexpr std::string_view prefix = "domains/";
constexpr std::chrono::milliseconds min_interval{200};
constexpr std::chrono::milliseconds step_interval{200};


asio::awaitable<void> follow_domains(group_state& state)
{
    feed_handlers handlers;
    handlers.reset_ = [&state](const platform::listing& all) {
        for (const platform::object& object : all.objects_)
            take_domain(state, object);
        state.listed_ = true;
    };
    handlers.change_ = [&state](const platform::change& c) {
        if (!c.deleted_)
            take_domain(state, c.object_);
    };
    handlers.settled_ = [&state] {
        update_groups(state);
    };
    co_await follow_prefix(
        state.control_, std::string(prefix), std::move(handlers), min_interval);
}

} // namespace

asio::awaitable<void> run_group_control(control_state& control)
{
    group_state state(control);
    state.incarnation_ = control.random_();
    asio::co_spawn(control.context_, follow_domains(state), asio::detached);
    control.on_verdict_ = [&state](const auto& sender, const auto& body) {
        take_verdict_body(state, sender, body);
    };
    asio::steady_timer timer(control.context_);
    for (;;) {
        if (state.listed_)
            step_domains(state);
        probe_groups(state);
        ask_for_verdicts(state);
        update_groups(state);
        timer.expires_after(step_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

} // namespace monsoondock::daemon
