#include "peer_control.hpp"

#include "control_metrics.hpp"
#include "member_views.hpp"
#include "peer_registration.hpp"
#include "peer_settings.hpp"

#include <monsoondock/base/event_line.hpp>
#include <monsoondock/settings/socket_address.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace monsoondock::daemon {

namespace asio = boost::asio;

namespace {

constexpr std::uint8_t PEER_KEY_NUMBER = 1;
constexpr std::chrono::milliseconds STEP_PERIOD{100};
constexpr std::chrono::milliseconds PAGE_PERIOD{1000};
constexpr std::chrono::milliseconds SEED_READ_PERIOD{10000};


/// State that the peer control keeps between two steps.
struct peer_control
{
    control_state& state_;
    peer_settings_state settings_{};
    /// Status that was last published to the members.
    std::optional<membership::member_status> status_{};
    bool leave_announced_ = false;
    base::time_point next_page_at_{};
    base::time_point next_seed_read_at_{};
};


std::optional<membership::endpoint>
to_endpoint(const settings::socket_address& address)
{
    return membership::parse_endpoint(settings::to_string(address));
}


std::vector<membership::endpoint> all_seeds(
    const control_state& state,
    const std::optional<registered_daemons>& registered)
{
    std::vector<membership::endpoint> seeds;
    for (const auto& address : state.config_.peer_seeds_) {
        if (const auto seed = to_endpoint(address))
            seeds.push_back(*seed);
    }
    if (registered)
        seeds.insert(
            seeds.end(), registered->seeds_.begin(), registered->seeds_.end());
    return seeds;
}


std::optional<peer::peer_config> make_config(
    control_state& state, const std::optional<registered_daemons>& registered)
{
    const settings::daemon_config& own = state.config_;
    const auto peer = to_endpoint(own.peer_address_);
    const auto caller = to_endpoint(own.caller_address_);
    if (!peer || !caller)
        return std::nullopt;
    peer::peer_config config;
    config.self_.id_ = own.daemon_;
    config.self_.data_centre_ = own.data_centre_;
    config.self_.region_ = own.region_;
    config.self_.peer_ = *peer;
    config.self_.caller_ = *caller;
    config.self_.incarnation_ = next_incarnation(
        registered ? registered->own_incarnation_ : membership::incarnation{});
    config.seeds_ = all_seeds(state, registered);
    config.keys_.current_ = {PEER_KEY_NUMBER, own.peer_secret_};
    // No callers until the daemon is ready, see is_ready.
    config.self_.status_.entry_mode_ = membership::entry_mode::draining;
    config.random_seed_ = state.random_();
    return config;
}


void log_member_event(const membership::member_event& event)
{
    if (const auto* c = std::get_if<membership::member_changed>(&event))
        base::event_line("member_changed")
            .field("member", c->record_.id_)
            .field("state", to_string(c->record_.state_))
            .field("incarnation", c->record_.incarnation_.value_);
    if (const auto* refuted = std::get_if<membership::self_refuted>(&event))
        base::event_line("self_refuted", base::severity::warning)
            .field("incarnation", refuted->incarnation_.value_);
    if (const auto* pause = std::get_if<membership::pause_detected>(&event))
        base::event_line("pause_noticed", base::severity::warning)
            .field("gap", pause->gap_);
}


peer::peer_handlers make_handlers(control_state& state)
{
    peer::peer_handlers handlers;
    handlers.member_event_ = log_member_event;
    handlers.settings_request_ = [&state](const auto& request) {
        return answer_settings(state, request);
    };
    handlers.group_health_ = [&state](const auto& sender, const auto& body) {
        if (state.on_group_health_)
            state.on_group_health_(sender, body);
    };
    return handlers;
}


void publish_status(peer_control& control)
{
    control_state& state = control.state_;
    membership::member_status status;
    if (state.settings_ != nullptr)
        status.settings_revision_ = state.settings_->revision_.value_;
    if (state.load_permille_)
        status.load_permille_ = state.load_permille_();
    if (state.draining_ || !is_ready(state))
        status.entry_mode_ = membership::entry_mode::draining;
    if (status == control.status_)
        return;
    control.status_ = status;
    state.peers_->set_status(status);
}


void announce_leave(peer_control& control)
{
    if (!control.state_.stopping_ || control.leave_announced_)
        return;
    control.leave_announced_ = true;
    control.state_.peers_->leave();
}


std::vector<base::daemon_id> find_live_daemons(const membership::node& node)
{
    std::vector<base::daemon_id> live;
    for (const auto& [id, other] : node.members())
        if (other.record_.state_ != membership::member_state::dead)
            live.push_back(id);
    return live;
}


void update_entry_hosts(control_state& state)
{
    auto rows = open_entry_hosts(state.peers_->node());
    auto live = find_live_daemons(state.peers_->node());
    if (rows == state.entry_hosts_ && live == state.live_daemons_)
        return;
    state.entry_hosts_ = std::move(rows);
    state.live_daemons_ = std::move(live);
    publish_snapshot(state);
}


void publish_page(peer_control& control, base::time_point now)
{
    if (now < control.next_page_at_)
        return;
    control.next_page_at_ = now + PAGE_PERIOD;
    control_state& state = control.state_;
    state.admin_pages_.publish(
        "members",
        members_page(state.peers_->node(), state.peers_->counters()));
    update_control_metrics(state);
}


bool has_no_live_peer(const membership::node& node)
{
    for (const auto& [id, other] : node.members()) {
        if (other.record_.state_ != membership::member_state::dead)
            return false;
    }
    return true;
}


/// Reads the seeds again while no live peer is known. Daemons that start at the
/// same time can miss each other in the first read.
asio::awaitable<void> refresh_seeds(peer_control& control, base::time_point now)
{
    control_state& state = control.state_;
    if (now < control.next_seed_read_at_ ||
        !has_no_live_peer(state.peers_->node()))
        co_return;
    control.next_seed_read_at_ = now + SEED_READ_PERIOD;
    const auto registered = co_await read_registered_daemons(state);
    if (registered)
        state.peers_->set_seeds(all_seeds(state, registered));
}


void stop_with_failure(control_state& state, base::problem why)
{
    state.failure_ = std::move(why);
    state.context_.stop();
}


asio::awaitable<void> run_steps(control_state& state)
{
    peer_control control{state};
    asio::steady_timer timer(state.context_);
    for (;;) {
        const base::time_point now = base::boot_clock::now();
        publish_status(control);
        announce_leave(control);
        update_entry_hosts(state);
        request_missing_settings(state, control.settings_, now);
        publish_page(control, now);
        co_await refresh_seeds(control, now);
        timer.expires_after(STEP_PERIOD);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

} // namespace

asio::awaitable<void> run_peer_control(control_state& state)
{
    const auto registered = co_await read_registered_daemons(state);
    const auto config = make_config(state, registered);
    if (!config)
        co_return stop_with_failure(
            state,
            {base::problem_code::invalid_argument,
             "peer_address or caller_address is not an IPv4 address",
             "use numeric IPv4 addresses with ports"});
    state.peers_ = std::make_unique<peer::service>(
        state.context_.get_executor(), *config, make_handlers(state));
    const auto started = state.peers_->start();
    if (!base::ok(started))
        co_return stop_with_failure(state, base::error(started));
    asio::co_spawn(
        state.context_,
        register_daemon(state, config->self_.incarnation_),
        asio::detached);
    co_await run_steps(state);
}

} // namespace monsoondock::daemon
