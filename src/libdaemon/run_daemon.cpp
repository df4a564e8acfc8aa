#include "claim_sweep.hpp"
#include "control_state.hpp"
#include "drain_feed.hpp"
#include "explain_page.hpp"
#include "group_control.hpp"
#include "host_feed.hpp"
#include "peer_control.hpp"
#include "settings_feed.hpp"
#include "suspect_control.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/event_line.hpp>
#include <monsoondock/daemon/run_daemon.hpp>
#include <monsoondock/traffic/server.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <csignal>
#include <utility>

namespace monsoondock::daemon {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds drain_poll_period{20};
// Time to write the last responses of aborted requests and to close their
// connections in order.
constexpr std::chrono::milliseconds abort_time{600};


asio::ip::tcp::endpoint to_endpoint(const settings::socket_address& address)
{
    return {asio::ip::make_address(address.ip_), address.port_};
}


std::vector<asio::ip::tcp::endpoint>
to_endpoints(const std::vector<settings::socket_address>& addresses)
{
    std::vector<asio::ip::tcp::endpoint> result;
    result.reserve(addresses.size());
    for (const auto& address : addresses)
        result.push_back(to_endpoint(address));
    return result;
}


traffic::limits to_limits(const settings::daemon_config& config)
{
    traffic::limits limits;
    limits.max_body_bytes_ = config.admission_.max_body_bytes_;
    limits.max_header_bytes_ =
        static_cast<std::uint32_t>(config.admission_.max_header_bytes_);
    limits.max_connections_ = config.admission_.max_connections_;
    limits.header_timeout_ = config.timeouts_.header_;
    limits.body_timeout_ = config.timeouts_.body_;
    limits.idle_timeout_ = config.timeouts_.idle_;
    limits.connect_timeout_ = config.timeouts_.connect_;
    limits.upstream_idle_timeout_ = config.timeouts_.upstream_idle_;
    limits.entry_host_ttl_ = config.timeouts_.entry_host_ttl_;
    return limits;
}


// The start time distinguishes successive processes of the same daemon.
std::uint64_t make_incarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}


traffic::claim_options to_claim_options(const settings::daemon_config& config)
{
    traffic::claim_options options;
    options.self_ = {config.daemon_, make_incarnation()};
    options.platform_addresses_ = to_endpoints(config.platform_addresses_);
    options.platform_timeout_ = config.timeouts_.platform_;
    return options;
}


std::string make_token_prefix(const claims::claim_owner& self)
{
    std::string prefix = self.daemon_.value_;
    return prefix.append("/")
        .append(std::to_string(self.incarnation_))
        .append("/");
}


// Waits until all connections and requests have ended or the time is over.
asio::awaitable<void> wait_until_closed(
    control_state& state, const traffic::server& server, base::time_point end)
{
    asio::steady_timer timer(state.context_);
    while (!server.is_closed() && base::boot_clock::now() < end) {
        timer.expires_after(drain_poll_period);
        co_await timer.async_wait(asio::use_awaitable);
    }
}


// Callers first learn of other daemons while this one still serves; then its
// connections are closed.
asio::awaitable<void> end_traffic(control_state& state, traffic::server& server)
{
    const auto& timeouts = state.config_.timeouts_;
    const base::time_point accept_until =
        base::boot_clock::now() + timeouts.entry_host_ttl_;
    const base::time_point exit_at = accept_until + timeouts.shutdown_;
    server.drain(exit_at);
    asio::steady_timer timer(state.context_, timeouts.entry_host_ttl_);
    co_await timer.async_wait(asio::use_awaitable);
    server.stop_accepting();
    co_await wait_until_closed(state, server, exit_at);
    if (server.is_closed())
        co_return;
    server.abort_requests();
    co_await wait_until_closed(state, server, exit_at + abort_time);
}


asio::awaitable<void>
stop_gracefully(control_state& state, traffic::server& server)
{
    const base::time_point start_time = base::boot_clock::now();
    base::event_line("stopping")
        .field("daemon", state.config_.daemon_)
        .field("active_requests", server.active_requests());
    state.stopping_ = true;
    state.draining_ = true;
    publish_snapshot(state);
    co_await end_traffic(state, server);
    base::event_line("stopped")
        .field("daemon", state.config_.daemon_)
        .field("elapsed", base::boot_clock::now() - start_time)
        .field("cut_requests", server.active_requests());
    state.context_.stop();
}


asio::awaitable<void>
wait_for_signals(control_state& state, traffic::server& server)
{
    asio::signal_set signals(state.context_, SIGTERM, SIGINT);
    bool stop_requested = false;
    for (;;) {
        const auto [failure, number] =
            co_await signals.async_wait(base::await_tuple);
        if (failure)
            co_return;
        // Supervisors may signal a process and its process group.
        if (std::exchange(stop_requested, true)) {
            base::event_line("stop_signal_repeated")
                .field("daemon", state.config_.daemon_)
                .field("signal", number);
            continue;
        }
        asio::co_spawn(
            state.context_, stop_gracefully(state, server), asio::detached);
    }
}


std::uint16_t
load_permille(const traffic::server& server, const settings::daemon_config& c)
{
    const std::uint64_t share =
        server.active_requests() * 1000 / c.admission_.max_connections_;
    return static_cast<std::uint16_t>(std::min<std::uint64_t>(share, 1000));
}


void start_control_tasks(control_state& state, traffic::server& server)
{
    auto& context = state.context_;
    asio::co_spawn(context, run_settings_feed(state), asio::detached);
    asio::co_spawn(context, run_host_feed(state), asio::detached);
    asio::co_spawn(context, run_drain_feed(state), asio::detached);
    asio::co_spawn(context, run_claim_sweep(state), asio::detached);
    asio::co_spawn(context, run_suspect_control(state), asio::detached);
    asio::co_spawn(context, run_peer_control(state), asio::detached);
    asio::co_spawn(context, run_group_control(state), asio::detached);
    asio::co_spawn(context, wait_for_signals(state, server), asio::detached);
}


std::optional<std::string> read_admin_page(
    const admin_pages& pages,
    const traffic::snapshot_holder& snapshots,
    const std::string& target)
{
    if (target.starts_with("/admin/explain"))
        return explain_page(*snapshots.get(), target, base::boot_clock::now());
    return pages.find(target);
}

} // namespace

base::result<base::done> run_daemon(const settings::daemon_config& config)
{
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context context(1);
    traffic::snapshot_holder snapshots;
    metrics::registry metrics;
    admin_pages pages;
    const traffic::claim_options claim_options = to_claim_options(config);
    traffic::shared_suspect_registry suspects(
        config.daemon_, make_token_prefix(claim_options.self_));
    control_state state{
        config,
        snapshots,
        metrics,
        pages,
        suspects,
        context,
        platform::http_client(
            context.get_executor(),
            to_endpoints(config.platform_addresses_),
            config.timeouts_.platform_),
        std::mt19937_64(std::random_device()())};
    traffic::server server(
        {snapshots,
         metrics,
         to_limits(config),
         [&](const std::string& target) {
             return read_admin_page(pages, snapshots, target);
         },
         claim_options,
         config.data_centre_,
         &suspects});
    connect_suspect_registry(state);
    auto started = server.start(
        to_endpoint(config.caller_address_), config.traffic_threads_);
    if (!base::ok(started))
        return started;
    base::event_line("started")
        .field("daemon", config.daemon_)
        .field("data_centre", config.data_centre_)
        .field("caller_address", settings::to_string(config.caller_address_));
    state.load_permille_ = [&] {
        return load_permille(server, config);
    };
    start_control_tasks(state, server);
    context.run();
    if (state.peers_ != nullptr)
        state.peers_->stop();
    server.stop();
    if (state.failure_)
        return *state.failure_;
    return base::done{};
}

} // namespace monsoondock::daemon
