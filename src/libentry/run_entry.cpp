#include "control_plane.hpp"
#include "evacuation_watch.hpp"
#include "link_peers.hpp"

#include <monsoondock/base/event_line.hpp>
#include <monsoondock/base/event_writer.hpp>
#include <monsoondock/entry/run_entry.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <csignal>
#include <unistd.h>

namespace monsoondock::entry {

namespace asio = boost::asio;

namespace {

relay::proxy_config make_proxy_config(
    const settings::entry_config& config, const platform_adapter& a)
{
    relay::proxy_config result;
    result.headers_ = a.headers_;
    result.daemon_ = config.daemon_;
    result.data_centre_ = config.data_centre_;
    result.retry_limit_ = {
        config.retries_.window_,
        config.retries_.ratio_,
        config.retries_.slack_,
        // After a restart, retries of the previous run count against the slack
        // for another window.
        config.first_start_
            ? base::time_point()
            : base::boot_clock::now() + config.retries_.window_};
    result.max_connections_ = config.max_connections_;
    result.admission_ = config.admission_ == settings::admission_rule::latency
                            ? relay::admission_rule::latency
                            : relay::admission_rule::queue;
    result.learned_capacity_ = config.learned_capacity_;
    return result;
}


relay::proxy_callbacks make_proxy_callbacks(pvt::control_plane& c)
{
    relay::proxy_callbacks callbacks;
    callbacks.on_unhealthy_ = [&c](const relay::unhealthy_report& suspicion) {
        asio::post(c.context_, [&c, suspicion] {
            asio::co_spawn(
                c.context_,
                pvt::handle_unhealthy(c, suspicion),
                asio::detached);
        });
    };
    callbacks.on_connection_lost_ = [&c](const base::host_id& host) {
        asio::post(c.context_, [&c, host] {
            asio::co_spawn(
                c.context_,
                pvt::handle_lost_connection(c, host),
                asio::detached);
        });
    };
    callbacks.on_no_progress_ = [&c](const base::host_id& host) {
        asio::post(c.context_, [&c, host] {
            // Peers in this data centre use the same upstreams most.
            pvt::send_nearby(c, pvt::upstream_query_message{host});
        });
    };
    callbacks.on_leaving_ = [&c](const base::host_id& host) {
        asio::post(
            c.context_, [&c, host] { pvt::announce_leaving_host(c, host); });
    };
    callbacks.on_crash_ = [&c](const relay::crash_report& report) {
        asio::post(c.context_, [&c, report] {
            pvt::broadcast(c, pvt::crash_message{report});
        });
    };
    callbacks.on_part_report_ = [&c](const crashes::part_report& report) {
        asio::post(c.context_, [&c, report] {
            pvt::broadcast(c, pvt::part_report_message{report});
        });
    };
    callbacks.on_limit_ = [&c](const relay::host_limit_report& report) {
        asio::post(c.context_, [&c, report] {
            pvt::broadcast(c, pvt::host_limits_message{{report}});
        });
    };
    callbacks.on_slow_upstreams_ =
        [&c](const std::vector<hostpace::pace_report>& reports) {
            asio::post(c.context_, [&c, reports] {
                pvt::broadcast(
                    c,
                    pvt::host_pace_message{
                        pvt::pace_scope::alert,
                        c.config_.daemon_.value_,
                        reports});
            });
        };
    callbacks.on_responsive_ = [&c](const base::host_id& host) {
        asio::post(c.context_, [&c, host] {
            pvt::broadcast(c, pvt::upstream_healthy_message{host});
        });
    };
    return callbacks;
}


void bind_peer_socket(pvt::control_plane& c)
{
    const asio::ip::udp::endpoint address(
        asio::ip::make_address(c.config_.peer_address_.ip_),
        c.config_.peer_address_.port_);
    c.peer_socket_.open(address.protocol());
    c.peer_socket_.bind(address);
}


void spawn_loops(pvt::control_plane& c)
{
    auto& context = c.context_;
    asio::co_spawn(context, pvt::run_signals(c), asio::detached);
    asio::co_spawn(context, pvt::run_catalog_watch(c), asio::detached);
    asio::co_spawn(context, pvt::run_catalog_peer_sync(c), asio::detached);
    asio::co_spawn(context, pvt::run_evacuation_watch(c), asio::detached);
    asio::co_spawn(context, pvt::publish_first_shares(c), asio::detached);
    asio::co_spawn(context, pvt::run_host_watch(c), asio::detached);
    asio::co_spawn(context, pvt::run_host_peer_sync(c), asio::detached);
    asio::co_spawn(context, pvt::run_store_checks(c), asio::detached);
    asio::co_spawn(context, pvt::run_peer_messaging(c), asio::detached);
    asio::co_spawn(context, pvt::run_load_reports(c), asio::detached);
    asio::co_spawn(context, pvt::run_discovery(c), asio::detached);
    asio::co_spawn(context, pvt::run_leadership(c), asio::detached);
    asio::co_spawn(context, pvt::run_placement(c), asio::detached);
    asio::co_spawn(context, pvt::run_link_tests(c), asio::detached);
}


base::result<base::done> run_control_plane(
    const settings::entry_config& config, const platform_adapter& adapter)
{
    metrics::registry metrics;
    pvt::control_plane c(config, adapter, metrics);
    c.proxy_ = std::make_unique<relay::reverse_proxy>(
        make_proxy_config(config, adapter), make_proxy_callbacks(c), metrics);
    try {
        bind_peer_socket(c);
        pvt::start_http_endpoints(c);
    } catch (const boost::system::system_error& failure) {
        return base::problem{
            base::problem_code::unavailable,
            std::string("can't listen: ") + failure.what(),
            "check the addresses in the settings file"};
    }
    // Without the listener the daemon serves its own callers all the same.
    const auto detours =
        c.proxy_->accept_detours(pvt::detour_address(c.node_.self().peer_));
    if (!base::ok(detours))
        base::event_line("detours_unavailable", base::severity::error)
            .field("reason", base::error(detours).message_);
    auto started = c.proxy_->start(
        {asio::ip::make_address(config.caller_address_.ip_),
         config.caller_address_.port_});
    if (!base::ok(started))
        return started;
    base::event_line("started")
        .field("daemon", config.daemon_)
        .field("data_centre", config.data_centre_)
        .field("caller_address", settings::to_string(config.caller_address_))
        .field("first_start", config.first_start_ ? "yes" : "no");
    spawn_loops(c);
    c.context_.run();
    c.proxy_->stop();
    return base::done{};
}

} // namespace

base::result<base::done>
run_entry(const settings::entry_config& config, const platform_adapter& adapter)
{
    std::signal(SIGPIPE, SIG_IGN);
    base::event_writer log(STDOUT_FILENO);
    base::install_event_writer(&log);
    base::result<base::done> ended = run_control_plane(config, adapter);
    base::install_event_writer(nullptr);
    return ended;
}

} // namespace monsoondock::entry
