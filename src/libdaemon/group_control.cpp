#include "group_control.hpp"

#include "group_health_exchange.hpp"
#include "group_leader.hpp"
#include "group_probes.hpp"
#include "group_rows.hpp"
#include "prefix_feed.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace monsoondock::daemon {

namespace asio = boost::asio;

namespace {

constexpr std::string_view prefix = "domains/";
constexpr std::chrono::milliseconds min_interval{200};
constexpr std::chrono::milliseconds step_interval{200};
constexpr std::chrono::milliseconds evidence_wait_limit{3000};


asio::awaitable<void> follow_domains(group_state& state)
{
    feed_handlers handlers;
    handlers.on_list_ = [&state](const platform::listing& all) {
        for (const platform::object& object : all.objects_)
            apply_domain_object(state, object);
        state.domains_listed_ = true;
    };
    handlers.on_change_ = [&state](const platform::change& c) {
        if (!c.deleted_)
            apply_domain_object(state, c.object_);
    };
    handlers.on_batch_end_ = [&state] {
        update_groups(state);
    };
    co_await follow_prefix(
        state.control_, std::string(prefix), std::move(handlers), min_interval);
}


std::size_t count_serving(const group_state& state)
{
    std::size_t serving = 0;
    for (const auto& [domain, known] : state.domains_) {
        const auto& all = known.record_.groups_;
        serving += static_cast<std::size_t>(
            std::count_if(all.begin(), all.end(), [](const auto& group) {
                return group.phase_ == groups::group_phase::serving;
            }));
    }
    return serving;
}


// After its start a daemon accepts callers once it has evidence for all serving
// groups. The wait is limited, because a group that is down must not keep the
// daemon from serving.
void update_groups_known(group_state& state)
{
    control_state& control = state.control_;
    if (control.groups_known_ || !state.domains_listed_)
        return;
    const base::time_point now = base::boot_clock::now();
    if (state.domains_listed_at_ == base::time_point{})
        state.domains_listed_at_ = now;
    const bool has_evidence = control.groups_.size() >= count_serving(state);
    if (!has_evidence && now - state.domains_listed_at_ < evidence_wait_limit)
        return;
    control.groups_known_ = true;
    publish_snapshot(control);
}

} // namespace

asio::awaitable<void> run_group_control(control_state& control)
{
    group_state state(control);
    state.incarnation_ = control.random_();
    asio::co_spawn(control.context_, follow_domains(state), asio::detached);
    control.on_group_health_ = [&state](const auto& sender, const auto& body) {
        handle_group_health_body(state, sender, body);
    };
    asio::steady_timer timer(control.context_);
    for (;;) {
        if (state.domains_listed_)
            step_domains(state);
        probe_groups(state);
        request_group_health(state);
        update_groups(state);
        update_groups_known(state);
        timer.expires_after(step_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

} // namespace monsoondock::daemon
